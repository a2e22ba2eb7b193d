//! Settings of an entry instance: a JSON file whose fields can be overridden by flags.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;

use caraway_core::finding::Report;

use crate::errors::Error;
use crate::errors::Result;

/// Settings, merged from the file and the flags.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the environment.
    #[serde(default)]
    pub instance: String,
    /// Failure domain of the instance.
    #[serde(default)]
    pub failure_domain: String,
    /// Environment whose document the instance applies.
    #[serde(default)]
    pub environment: String,
    /// Stage of the document: `production` or `trial`.
    #[serde(default = "default_stage")]
    pub stage: String,
    /// Address for callers.
    #[serde(default)]
    pub client_address: String,
    /// Address for requests that other entry instances forward.
    #[serde(default)]
    pub peer_address: String,
    /// Address for control messages of other entry instances.
    #[serde(default)]
    pub control_address: String,
    /// Address for health checks, metrics and the operator's tool.
    #[serde(default)]
    pub admin_address: String,
    /// Base URL of the platform's store.
    #[serde(default)]
    pub store: String,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
}

/// Log settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `text` or `json`.
    pub format: String,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// File to append log lines to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: "text".to_owned(), level: "info".to_owned(), file: None }
    }
}

/// Listening addresses of the instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub client: SocketAddr,
    /// For forwarded requests.
    pub peer: SocketAddr,
    /// For control messages.
    pub control: SocketAddr,
    /// For the admin interface.
    pub admin: SocketAddr,
}

fn default_stage() -> String {
    "production".to_owned()
}

impl Settings {
    /// Reads settings from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not parse as settings in JSON.
    pub fn try_read(path: &Path) -> Result<Self> {
        let failed = |problem: String| Error::SettingsFile { path: path.to_owned(), problem };
        let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
    }

    /// Validates all fields and returns the listening addresses.
    ///
    /// # Errors
    ///
    /// Returns the findings of all fields together.
    pub fn try_check(&self) -> Result<Addresses> {
        let mut report = Report::new();
        check_name(&mut report, "/instance", &self.instance);
        check_name(&mut report, "/failure_domain", &self.failure_domain);
        check_name(&mut report, "/environment", &self.environment);
        check_choice(&mut report, "/stage", &self.stage, &["production", "trial"]);
        check_choice(&mut report, "/log/format", &self.log.format, &["text", "json"]);
        let levels = ["error", "warn", "info", "debug", "trace"];
        check_choice(&mut report, "/log/level", &self.log.level, &levels);
        let store = self.store.strip_prefix("http://").and_then(parse_address);
        if store.is_none() {
            report.add("/store", &format!("{:?}", self.store), "a URL of the form http://ip:port");
        }
        let client = check_address(&mut report, "/client_address", &self.client_address);
        let peer = check_address(&mut report, "/peer_address", &self.peer_address);
        let control = check_address(&mut report, "/control_address", &self.control_address);
        let admin = check_address(&mut report, "/admin_address", &self.admin_address);
        match (client, peer, control, admin) {
            (Some(client), Some(peer), Some(control), Some(admin)) if report.is_empty() => {
                Ok(Addresses { client, peer, control, admin })
            }
            _ => Err(Error::Settings(report)),
        }
    }
}

fn check_name(report: &mut Report, place: &str, value: &str) {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if value.is_empty() || !value.chars().all(valid) {
        report.add(place, &format!("{value:?}"), "a name of letters, digits, - and _");
    }
}

fn check_choice(report: &mut Report, place: &str, value: &str, allowed: &[&str]) {
    if !allowed.contains(&value) {
        report.add(place, &format!("{value:?}"), &allowed.join(", "));
    }
}

fn check_address(report: &mut Report, place: &str, value: &str) -> Option<SocketAddr> {
    let address = parse_address(value);
    if address.is_none() {
        report.add(place, &format!("{value:?}"), "an IP address and a port other than 0");
    }
    address
}

/// Parses a socket address with a port other than 0.
fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse::<SocketAddr>().ok().filter(|address| address.port() != 0)
}
