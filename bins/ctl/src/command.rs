//! Dispatch of commands.

use serde_json::Value;

use caraway_document::rule;

use crate::declare;
use crate::document;
use crate::errors::Error;
use crate::errors::Result;
use crate::explain;
use crate::explain_edge;
use crate::flag::Command;
use crate::flag::Declaration;
use crate::flag::Flags;
use crate::flag::Subject;
use crate::request_log;
use crate::status;

/// Result of a command.
#[derive(Clone, Debug)]
pub struct Output {
    /// Text output, terminated by a newline.
    pub text: String,
    /// JSON output.
    pub json: Value,
    /// False if the command has a result but did not succeed, such as for a document with findings or an
    /// instance that did not respond.
    pub succeeded: bool,
}

/// Runs the command that the flags select.
///
/// # Errors
///
/// The command failed without a result.
pub fn run(flags: &Flags) -> Result<Output> {
    match flags.command.as_ref() {
        None => Err(Error::Usage("no command; see --help".into())),
        Some(Command::Check { document }) => document::check(document),
        Some(Command::Diff { old, new }) => document::diff(old, new),
        Some(Command::Placement { document }) => document::placement(document),
        Some(Command::Schema) => Ok(schema()),
        Some(Command::Put { store, stage, document }) => {
            document::put(&store.store, *stage, document)
        }
        Some(Command::Promote { store, environment, from, to }) => {
            document::promote(&store.store, environment, *from, *to)
        }
        Some(Command::Declare { declaration }) => match declaration {
            Declaration::Gone { name, domain, reason, source, .. } => {
                declare::gone(domain, name, reason, source.as_deref())
            }
            Declaration::Withdraw { name, domain } => declare::withdraw(domain, name),
            Declaration::List { store, environment } => declare::list(&store.store, environment),
        },
        Some(Command::Status { entries }) => status::run(&entries.entry),
        Some(Command::Explain { subject }) => match subject {
            Subject::Key { entries, service, key } => explain::key(&entries.entry, service, key),
            Subject::Request { entries, id } => explain::request(&entries.entry, id),
            Subject::Log { id, files } => request_log::run(id, files),
            Subject::Edge { host, path, key, metrics } => {
                explain_edge::run(metrics, host, path, *key)
            }
            Subject::Fleet { entries } => explain::fleet(&entries.entry),
        },
    }
}

fn schema() -> Output {
    let json = rule::json_schema();
    Output { text: format!("{json:#}\n"), json, succeeded: true }
}
