//! Flags and commands.

use std::fmt;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use clap_complete::Shell;

const EXIT_CODES: &str = "Exit codes:\n  \
    0  success\n  \
    1  failure at run time: a document with findings, a lost race, a store or an instance that did not respond\n  \
    2  bad usage: wrong flags or a file that cannot be read";

const DECLARATIONS: &str = "\
A declaration is about a name and stays until it is withdrawn: withdraw it before a process of this name is started \
again. Instances read declarations from the store, so they have no effect while the store is down.

Exit codes:
  0  success
  1  failure at run time: no declaration to withdraw, contention, or a store that did not respond
  2  bad usage: wrong flags";

/// Checks and promotes environment documents and asks entry instances what they know.
#[derive(Debug, Parser)]
#[command(name = "caraway-ctl", version, after_help = EXIT_CODES, arg_required_else_help = true)]
pub struct Flags {
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Print the completion script of a shell.
    #[arg(long, value_name = "SHELL")]
    pub completions: Option<Shell>,
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a document and report all findings.
    #[command(after_help = EXIT_CODES)]
    Check {
        /// File with the document.
        document: PathBuf,
    },
    /// Show what a new document changes and which shards would move.
    #[command(after_help = EXIT_CODES)]
    Diff {
        /// File with the old document.
        old: PathBuf,
        /// File with the new document.
        new: PathBuf,
    },
    /// Print a document with the placement in force of every service written out.
    ///
    /// Put the printed document in force before targets are added to or removed from one failure domain: with a
    /// stated placement, such a change moves no shards between groups.
    #[command(after_help = EXIT_CODES)]
    Placement {
        /// File with the document.
        document: PathBuf,
    },
    /// Print the JSON Schema of the document.
    Schema,
    /// Check a document and store it in the trial stage.
    #[command(after_help = EXIT_CODES)]
    Put {
        #[command(flatten)]
        store: StoreFlags,
        /// Stage to store it in. Production changes by `promote` only.
        #[arg(long, default_value = "trial")]
        stage: Stage,
        /// File with the document.
        document: PathBuf,
    },
    /// Put the document of one stage in force in another by compare-and-swap.
    #[command(after_help = EXIT_CODES)]
    Promote {
        #[command(flatten)]
        store: StoreFlags,
        /// Name of the environment.
        #[arg(long)]
        environment: String,
        /// Stage to take the document from.
        #[arg(long, default_value = "trial")]
        from: Stage,
        /// Stage to put it in force in.
        #[arg(long, default_value = "production")]
        to: Stage,
    },
    /// Declare that instances or targets do not run any more.
    #[command(after_help = DECLARATIONS)]
    Declare {
        #[command(subcommand)]
        declaration: Declaration,
    },
    /// Show the state of entry instances.
    #[command(after_help = EXIT_CODES)]
    Status {
        #[command(flatten)]
        entries: EntryFlags,
    },
    /// Ask entry instances why something is as it is.
    #[command(after_help = EXIT_CODES)]
    Explain {
        #[command(subcommand)]
        subject: Subject,
    },
}

/// Declarations.
#[derive(Debug, Subcommand)]
pub enum Declaration {
    /// Declare an instance or a target gone.
    ///
    /// WARNING: instances then give its groups or shards to others without further proof. If the process still runs,
    /// or runs again, two servers can own one key at the same time. Declare only what you have stopped yourself or
    /// know to be without power.
    #[command(after_help = DECLARATIONS)]
    Gone {
        /// Name of the instance or target.
        name: String,
        #[command(flatten)]
        domain: DomainFlags,
        /// Why it is known not to run.
        #[arg(long)]
        reason: String,
        /// Who declares it; the user name if absent.
        #[arg(long)]
        source: Option<String>,
        /// Confirms that the process does not run and cannot start by itself.
        #[arg(long, required = true)]
        i_have_stopped_it: bool,
    },
    /// Withdraw a declaration. What instances have concluded from it stays.
    #[command(after_help = DECLARATIONS)]
    Withdraw {
        /// Name of the instance or target.
        name: String,
        #[command(flatten)]
        domain: DomainFlags,
    },
    /// List the declarations of an environment.
    #[command(after_help = EXIT_CODES)]
    List {
        #[command(flatten)]
        store: StoreFlags,
        /// Name of the environment.
        #[arg(long)]
        environment: String,
    },
}

/// Which failure domain a declaration is about.
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
    /// Who owns a key, since when and why.
    Key {
        #[command(flatten)]
        entries: EntryFlags,
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
    /// What happened to a request.
    Request {
        #[command(flatten)]
        entries: EntryFlags,
        /// Request ID.
        id: String,
    },
    /// What the logs of instances tell of a request, with its cause last.
    Log {
        /// Request ID.
        id: String,
        /// Logs of instances, in JSON lines.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Which instance coordinates each group, and where instances disagree.
    Fleet {
        #[command(flatten)]
        entries: EntryFlags,
    },
}

/// Where the store is.
#[derive(Args, Debug)]
pub struct StoreFlags {
    /// Address of the platform's store.
    #[arg(long, value_name = "http://IP:PORT")]
    pub store: String,
}

/// Which instances are asked.
#[derive(Args, Debug)]
pub struct EntryFlags {
    /// Admin addresses of entry instances. May be given several times or as a list with commas.
    #[arg(long, required = true, value_name = "IP:PORT", value_delimiter = ',')]
    pub entry: Vec<String>,
}

/// Stage of an environment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Stage {
    /// Documents that are tried out.
    Trial,
    /// The document in force.
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
