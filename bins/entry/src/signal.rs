//! Signal handling: the first signal starts a planned stop, the second ends the process at once.

use std::thread::JoinHandle;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Handle;
use signal_hook::iterator::Signals;

use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;

use crate::errors::Error;
use crate::errors::Result;
use crate::message::Mailbox;
use crate::message::Message;

/// Exit code after a second signal.
const FORCED_EXIT_CODE: i32 = 1;

/// Handle to the signal thread.
#[derive(Debug)]
pub struct Watch {
    thread: JoinHandle<()>,
    handle: Handle,
}

impl Watch {
    /// Stops the thread and waits for it.
    pub fn join(self) {
        self.handle.close();
        if self.thread.join().is_err() {
            log::error!("the signal thread panicked");
        }
    }
}

/// Starts the signal thread.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed or the thread cannot be started.
pub fn watch(mailbox: Mailbox) -> Result<Watch> {
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
                std::process::exit(FORCED_EXIT_CODE);
            }
            stopping = true;
            mailbox.send(Message::Stop { signal });
        }
    };
    let thread = builder.spawn(body).map_err(failed)?;
    Ok(Watch { thread, handle })
}
