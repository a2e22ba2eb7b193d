//! Logger setup.

use std::io::Write;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::SystemTime;

use fern::Dispatch;
use log::LevelFilter;

use crate::background::Writer;
use crate::errors::Error;
use crate::errors::Result;
use crate::line;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Human-readable text lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for Format {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(Error::Format(text.to_owned())),
        }
    }
}

/// Options of the logger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Format of the log lines.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// File to append log lines to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self { format: Format::Text, level: LevelFilter::Info, file: None }
    }
}

/// Installs the process-wide logger.
///
/// # Errors
///
/// The file cannot be opened, or a logger is already installed.
pub fn install(options: &Options) -> Result<()> {
    let dispatch = dispatch(options.format, options.level);
    let dispatch = match &options.file {
        None => dispatch.chain(std::io::stderr()),
        Some(path) => {
            let file = fern::log_file(path)
                .map_err(|source| Error::File { path: path.clone(), source })?;
            dispatch.chain(file)
        }
    };
    dispatch.apply().map_err(|_| Error::Installed)
}

/// Returns a dispatch that filters and formats records but has no output yet.
pub fn dispatch(format: Format, level: LevelFilter) -> Dispatch {
    Dispatch::new().level(level).format(move |out, _message, record| {
        let now = SystemTime::now();
        let line = match format {
            Format::Text => line::text(now, record),
            Format::Json => line::json(now, record),
        };
        out.finish(format_args!("{line}"));
    })
}

/// Installs a process-wide logger that writes JSON lines through a background writer.
///
/// # Errors
///
/// A logger is already installed.
pub fn install_background(writer: Writer) -> Result<()> {
    let output: Box<dyn Write + Send> = Box::new(writer);
    let dispatch = dispatch(Format::Json, LevelFilter::Info).chain(output);
    dispatch.apply().map_err(|_| Error::Installed)
}
