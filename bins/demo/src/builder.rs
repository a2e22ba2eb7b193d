//! Options of an environment, and the preparation of its ports, settings and command lines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::admin::Admin;
use crate::child::Process;
use crate::environment::Environment;
use crate::environment::Kind;
use crate::environment::Node;
use crate::errors::Error;
use crate::errors::Result;
use crate::fixture;
use crate::platform::Http;
use crate::platform::Platform;
use crate::port::Range;
use caraway_document::plan::Fencing;
use caraway_document::plan::Plan;
use caraway_document::schema::Document;
use caraway_document::schema::Service;
use caraway_load::journal::Journals;

/// Number of ports of an entry instance: client, peer, control and admin.
const PORTS_PER_ENTRY: u16 = 4;

/// Number of environments prepared by this process; makes their directory names unique.
static PREPARED: AtomicU32 = AtomicU32::new(0);

/// Options of an environment.
#[derive(Clone, Debug)]
pub struct Builder {
    /// The document. Its target addresses are replaced by addresses with free ports.
    pub document: Document,
    /// Number of entry instances in each failure domain.
    pub entries_per_domain: usize,
    /// First port; any free port range if absent.
    pub base_port: Option<u16>,
    /// Directory of the programs; the directory of the running program or its parent if absent.
    pub programs: Option<PathBuf>,
    /// Service time of the targets in milliseconds.
    pub service_ms: u64,
    /// Number of additional targets that are not in the document and accept requests without a token, for
    /// direct requests. They have the options of the first service.
    pub spares: usize,
    /// Log level of the entry instances.
    pub log_level: String,
    /// Keeps the directory with settings and logs.
    pub keep_directory: bool,
}

impl Builder {
    /// Creates a builder with default options.
    pub fn new(document: Document) -> Self {
        Self {
            document,
            entries_per_domain: 4,
            base_port: None,
            programs: None,
            service_ms: 2,
            spares: 0,
            log_level: "info".to_owned(),
            keep_directory: false,
        }
    }

    /// Starts the environment and waits until all groups are served.
    pub fn start(self) -> Result<Environment> {
        let mut environment = self.prepare()?;
        environment.start()?;
        Ok(environment)
    }

    /// Reserves ports and writes settings without starting any process.
    fn prepare(self) -> Result<Environment> {
        let mut document = self.document;
        let targets: usize = document.services.iter().map(|service| service.targets.len()).sum();
        let entries = document.failure_domains.len() * self.entries_per_domain;
        let count = 2 + self.spares + targets + entries * usize::from(PORTS_PER_ENTRY);
        let count = u16::try_from(count).map_err(|_| Error::Ports(u16::MAX))?;
        let range = Range::reserve(self.base_port, count)?;
        let mut next_port_index = fixture::assign_addresses(&mut document, &range, 2);
        let programs = match self.programs {
            Some(programs) => programs,
            None => find_programs()?,
        };
        let number = PREPARED.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("caraway-demo-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory)
            .map_err(|error| Error::io(&directory.to_string_lossy(), error))?;
        let plan =
            Plan::try_new(&document, 1).map_err(|error| Error::Document(error.to_string()))?;
        let platform_address = range.address(1);
        let mut environment = Environment {
            platform_process: Process::new(
                "platform",
                &programs.join("caraway-platform"),
                vec!["--address".to_owned(), platform_address.to_string()],
                directory.join("platform.log"),
            ),
            platform: Platform::new(platform_address),
            admin: Admin::default(),
            http: Http::default(),
            nodes: BTreeMap::new(),
            journals: Journals::default(),
            revision: 0,
            keep_directory: self.keep_directory,
            document,
            plan,
            directory,
            range,
        };
        let (program, store) = (programs.join("caraway-entry"), platform_address);
        for domain in environment.document.failure_domains.clone() {
            for n in 1..=self.entries_per_domain {
                let name = format!("{domain}-e{n}");
                let addresses =
                    [0, 1, 2, 3].map(|offset| environment.range.address(next_port_index + offset));
                next_port_index += PORTS_PER_ENTRY;
                let settings = entry_settings(
                    &environment,
                    &name,
                    domain.as_str(),
                    addresses,
                    store,
                    &self.log_level,
                );
                environment.add_entry(&name, domain.as_str(), &program, addresses, &settings)?;
            }
        }
        let program = programs.join("caraway-target");
        environment.add_targets(&program, self.service_ms);
        for n in 1..=self.spares {
            environment.add_spare(&program, n, next_port_index, self.service_ms);
            next_port_index += 1;
        }
        Ok(environment)
    }
}

impl Environment {
    fn add_entry(
        &mut self,
        name: &str,
        domain: &str,
        program: &Path,
        addresses: [SocketAddr; 4],
        settings: &Value,
    ) -> Result<()> {
        let path = self.directory.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())
            .map_err(|error| Error::io(&path.to_string_lossy(), error))?;
        let [address, _, registered_address, admin_address] = addresses;
        let arguments = vec!["--settings".to_owned(), path.to_string_lossy().into_owned()];
        let log = self.directory.join(format!("{name}.log"));
        let process = Process::new(name, program, arguments, log);
        let node = Node {
            kind: Kind::Entry,
            domain: domain.to_owned(),
            address,
            registered_address,
            admin_address,
            process,
        };
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    fn add_targets(&mut self, program: &Path, service_ms: u64) {
        for service in self.document.services.clone() {
            for target in &service.targets {
                let name = target.name.to_string();
                let check = service.fencing == Fencing::Checked;
                let arguments = target_flags(&name, &service, target.address, service_ms, check);
                let log = self.directory.join(format!("{name}.log"));
                let node = Node {
                    kind: Kind::Target,
                    domain: target.failure_domain.to_string(),
                    address: target.address,
                    registered_address: target.address,
                    admin_address: target.address,
                    process: Process::new(&name, program, arguments, log),
                };
                self.nodes.insert(name, node);
            }
        }
    }

    fn add_spare(&mut self, program: &Path, n: usize, port_index: u16, service_ms: u64) {
        let Some(service) = self.document.services.first() else { return };
        let (name, address) = (format!("spare-{n}"), self.range.address(port_index));
        let arguments = target_flags(&name, service, address, service_ms, false);
        let log = self.directory.join(format!("{name}.log"));
        let process = Process::new(&name, program, arguments, log);
        let (domain, kind) = (String::new(), Kind::Spare);
        let node = Node {
            kind,
            domain,
            address,
            registered_address: address,
            admin_address: address,
            process,
        };
        self.nodes.insert(name, node);
    }
}

fn target_flags(
    name: &str,
    service: &Service,
    address: SocketAddr,
    service_ms: u64,
    check_token: bool,
) -> Vec<String> {
    let flags = [
        ("--name", name.to_owned()),
        ("--service", service.name.to_string()),
        ("--address", address.to_string()),
        ("--slots", service.slots.to_string()),
        ("--connections", service.connections.to_string()),
        ("--service-ms", service_ms.to_string()),
        ("--warmup-ms", service.warmup_ms.to_string()),
        ("--check-token", check_token.to_string()),
    ];
    flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect()
}

/// Finds the directory of the programs: the directory of the running program or, for a test, its parent.
fn find_programs() -> Result<PathBuf> {
    let current = std::env::current_exe().map_err(|error| Error::io("current program", error))?;
    let ancestors = current.ancestors().skip(1).take(2);
    let found = ancestors.into_iter().find(|path| path.join("caraway-entry").is_file());
    found.map(PathBuf::from).ok_or_else(|| Error::NotFound("caraway-entry".to_owned()))
}

fn entry_settings(
    environment: &Environment,
    name: &str,
    domain: &str,
    addresses: [SocketAddr; 4],
    store: SocketAddr,
    level: &str,
) -> Value {
    let [client, peer, control, admin] = addresses;
    json!({
        "instance": name, "failure_domain": domain,
        "environment": environment.document.environment, "stage": "production",
        "client_address": client, "peer_address": peer, "control_address": control,
        "admin_address": admin, "store": format!("http://{store}"),
        "log": { "format": "text", "level": level, "file": null },
    })
}
