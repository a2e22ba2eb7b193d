//! Command-line flags and commands.

use std::fmt;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use clap_complete::Shell;

const EXIT_CODES_HELP: &str = "Exit codes:\n  \
    0  success\n  \
    1  runtime failure: a document with findings, a conflicting write, a store or an instance that did not respond\n  \
    2  usage error: invalid flags or a file that cannot be read";

const DECLARATIONS_HELP: &str = "\
A declaration applies to a name until it is withdrawn: withdraw it before a process of this name is started \
again. Instances read declarations from the store, so they have no effect while the store is down.

Exit codes:
  0  success
  1  runtime failure: no declaration to withdraw, conflicting writes, or a store that did not respond
  2  usage error: invalid flags";

/// Checks and promotes environment documents, and queries entry instances.
#[derive(Debug, Parser)]
#[command(name = "caraway-ctl", version, after_help = EXIT_CODES_HELP, arg_required_else_help = true)]
pub struct Flags {
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Print the completion script of a shell.
    #[arg(long, value_name = "SHELL")]
    pub completions: Option<Shell>,
    /// Command to run.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a document and report all findings.
    #[command(after_help = EXIT_CODES_HELP)]
    Check {
        /// File with the document.
        document: PathBuf,
    },
    /// Show the changes in a new document and the shards that would move.
    #[command(after_help = EXIT_CODES_HELP)]
    Diff {
        /// File with the old document.
        old: PathBuf,
        /// File with the new document.
        new: PathBuf,
    },
    /// Print a document with the effective placement of every service made explicit.
    ///
    /// Promote the printed document before adding targets to or removing targets from a single failure domain: with
    /// an explicit placement, such a change moves no shards between groups.
    #[command(after_help = EXIT_CODES_HELP)]
    Placement {
        /// File with the document.
        document: PathBuf,
    },
    /// Print the JSON Schema of the document.
    Schema,
    /// Check a document and store it in the trial stage.
    #[command(after_help = EXIT_CODES_HELP)]
    Put {
        #[command(flatten)]
        store: StoreFlags,
        /// Stage to store the document in. Production is changed only by `promote`.
        #[arg(long, default_value = "trial")]
        stage: Stage,
        /// File with the document.
        document: PathBuf,
    },
    /// Promote the document of one stage to another by compare-and-swap.
    #[command(after_help = EXIT_CODES_HELP)]
    Promote {
        #[command(flatten)]
        store: StoreFlags,
        /// Name of the environment.
        #[arg(long)]
        environment: String,
        /// Source stage.
        #[arg(long, default_value = "trial")]
        from: Stage,
        /// Destination stage.
        #[arg(long, default_value = "production")]
        to: Stage,
    },
    /// Declare that instances or targets are no longer running.
    #[command(after_help = DECLARATIONS_HELP)]
    Declare {
        #[command(subcommand)]
        declaration: Declaration,
    },
    /// Show the state of entry instances.
    #[command(after_help = EXIT_CODES_HELP)]
    Status {
        #[command(flatten)]
        entries: EntryFlags,
    },
    /// Explain ownership, requests and coordination from the state of entry instances.
    #[command(after_help = EXIT_CODES_HELP)]
    Explain {
        #[command(subcommand)]
        subject: Subject,
    },
}

/// Subcommands of `declare`.
#[derive(Debug, Subcommand)]
pub enum Declaration {
    /// Declare an instance or a target gone.
    ///
    /// WARNING: instances then reassign its groups or shards without further proof. If the process is still running,
    /// or starts again, two servers can own a key at the same time. Only declare processes that you have stopped
    /// yourself or whose host is known to be powered off.
    #[command(after_help = DECLARATIONS_HELP)]
    Gone {
        /// Name of the instance or target.
        name: String,
        #[command(flatten)]
        domain: DomainFlags,
        /// Reason why it is known not to run.
        #[arg(long)]
        reason: String,
        /// Source of the declaration; defaults to the user name.
        #[arg(long)]
        source: Option<String>,
        /// Confirms that the process is not running and cannot start by itself.
        #[arg(long, required = true)]
        i_have_stopped_it: bool,
    },
    /// Withdraw a declaration. Decisions that instances have based on it are not reverted.
    #[command(after_help = DECLARATIONS_HELP)]
    Withdraw {
        /// Name of the instance or target.
        name: String,
        #[command(flatten)]
        domain: DomainFlags,
    },
    /// List the declarations of an environment.
    #[command(after_help = EXIT_CODES_HELP)]
    List {
        #[command(flatten)]
        store: StoreFlags,
        /// Name of the environment.
        #[arg(long)]
        environment: String,
    },
}

/// Failure domain that a declaration applies to.
#[derive(Args, Debug)]
pub struct DomainFlags {
    #[command(flatten)]
    pub store: StoreFlags,
    /// Name of the environment.
    #[arg(long)]
    pub environment: String,
    /// Failure domain of the instance or target.
    #[arg(long)]
    pub failure_domain: String,
}

/// Subjects of `explain`.
#[derive(Debug, Subcommand)]
pub enum Subject {
    /// Show the owner of a key, since when it owns the key and why.
    Key {
        #[command(flatten)]
        entries: EntryFlags,
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
    /// Show the steps of a request.
    Request {
        #[command(flatten)]
        entries: EntryFlags,
        /// Request ID.
        id: String,
    },
    /// Show the log lines of a request from the logs of instances, and the cause of its outcome.
    Log {
        /// Request ID.
        id: String,
        /// Log files of instances, in the JSON Lines format.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show where a live `caraway-edge` would send a request now, and why. The request is not sent.
    Edge {
        /// Host of the request.
        host: String,
        /// Path of the request.
        path: String,
        /// Key of the request.
        #[arg(long)]
        key: Option<u16>,
        /// Address of the instance's listener for metrics.
        #[arg(long, value_name = "IP:PORT")]
        metrics: String,
    },
    /// Show the coordinator of each group, and disagreements between instances.
    Fleet {
        #[command(flatten)]
        entries: EntryFlags,
    },
}

/// Address of the store.
#[derive(Args, Debug)]
pub struct StoreFlags {
    /// Address of the platform's store.
    #[arg(long, value_name = "http://IP:PORT")]
    pub store: String,
}

/// Instances to query.
#[derive(Args, Debug)]
pub struct EntryFlags {
    /// Admin addresses of entry instances. Can be repeated or given as a comma-separated list.
    #[arg(long, required = true, value_name = "IP:PORT", value_delimiter = ',')]
    pub entry: Vec<String>,
}

/// Stage of an environment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Stage {
    /// Candidate document that is not in effect yet.
    Trial,
    /// Document in effect.
    Production,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trial => "trial",
            Self::Production => "production",
        })
    }
}
