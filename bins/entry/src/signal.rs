//! Signals: the first one starts a planned stop, the second one ends the process at once.

use std::thread::JoinHandle;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Handle;
use signal_hook::iterator::Signals;

use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;

use crate::errors::Error;
use crate::errors::Result;
use crate::message::Message;
use crate::message::Outbox;

/// Exit code after a second signal.
const FORCED: i32 = 1;

/// The signal thread.
#[derive(Debug)]
pub struct Watch {
    thread: JoinHandle<()>,
    handle: Handle,
}

impl Watch {
    /// Ends the thread.
    pub fn join(self) {
        self.handle.close();
        if self.thread.join().is_err() {
            log::error!("the signal thread panicked");
        }
    }
}

/// Starts to watch for signals.
///
/// # Errors
///
/// Fails if the system refuses the handlers or the thread.
pub fn watch(outbox: Outbox) -> Result<Watch> {
    let failed =
        |error: std::io::Error| Error::Start { what: "signals", problem: error.to_string() };
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(failed)?;
    let handle = signals.handle();
    let builder = std::thread::Builder::new().name("signals".to_owned());
    let body = move || {
        let mut stopping = false;
        for number in signals.forever() {
            let signal = if number == SIGTERM { "SIGTERM" } else { "SIGINT" }.to_owned();
            if stopping {
                event::emit(LogEvent::StopForced { signal });
                std::process::exit(FORCED);
            }
            stopping = true;
            outbox.send(Message::Stop { signal });
        }
    };
    let thread = builder.spawn(body).map_err(failed)?;
    Ok(Watch { thread, handle })
}
