//! The operator's command-line tool.
//!
//! Checks and promotes environment documents and queries running entry instances. Results are printed to
//! standard output and errors to standard error.

#![forbid(unsafe_code)]

use std::io::Write;
use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;

use crate::command::Output;
use crate::errors::Error;
use crate::flag::Flags;

mod admin;
mod command;
mod declare;
mod document;
mod errors;
mod explain;
mod explain_edge;
mod flag;
mod http;
mod request_log;
mod status;
mod store;
mod table;

fn main() -> ExitCode {
    let flags = Flags::parse();
    if let Some(shell) = flags.completions {
        let mut script = Vec::new();
        clap_complete::generate(shell, &mut Flags::command(), "caraway-ctl", &mut script);
        print(&script);
        return ExitCode::SUCCESS;
    }
    match command::run(&flags) {
        Ok(output) => {
            print(render(&flags, &output).as_bytes());
            ExitCode::from(u8::from(!output.succeeded))
        }
        Err(error) => report_error(&error),
    }
}

fn render(flags: &Flags, output: &Output) -> String {
    if flags.json { format!("{:#}\n", output.json) } else { output.text.clone() }
}

fn report_error(error: &Error) -> ExitCode {
    let message = error.to_string();
    for line in format!("caraway-ctl: {}", message.trim_end()).lines() {
        let _ = writeln!(std::io::stderr(), "{}", table::escape_control(line));
    }
    ExitCode::from(error.exit_code())
}

/// Writes to standard output. A closed pipe, such as that of `head`, is not an error.
fn print(bytes: &[u8]) {
    let _ = std::io::stdout().write_all(bytes);
}
