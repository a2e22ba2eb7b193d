//! What follows from the way in which an attempt ended.

use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;

/// How an attempt ended without a usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// No connection could be opened, so no byte was written.
    ConnectFailed,
    /// A connection was open and no byte was written, for example because the permission to write
    /// ended first.
    Unsent,
    /// The other side said that the request did not run.
    Refused(Reason),
    /// The connection failed after a byte was written.
    Lost,
    /// The wait for the answer was given up after a byte was written, because another target or
    /// instance owns the key now. It says nothing about the health of the other side.
    GivenUp,
    /// The caller's body ended early after a byte was written.
    BodyLost,
    /// The answer was truncated or not valid before any of it was passed on.
    BadAnswer,
    /// The time of the call ended.
    TimedOut {
        /// True if a byte was written.
        written: bool,
    },
}

impl Event {
    /// Returns true if the attempt may have run the request.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::ConnectFailed | Self::Unsent | Self::Refused(_) => false,
            Self::Lost | Self::GivenUp | Self::BodyLost | Self::BadAnswer => true,
            Self::TimedOut { written } => written,
        }
    }

    /// Returns the reason that a caller is told.
    pub fn reason(self) -> Reason {
        match self {
            Self::ConnectFailed => Reason::ConnectFailed,
            Self::Unsent => Reason::NoOwner,
            Self::Refused(reason) => reason,
            Self::Lost | Self::GivenUp | Self::BodyLost => Reason::ConnectionLost,
            Self::BadAnswer => Reason::BadAnswer,
            Self::TimedOut { written: false } => Reason::DeadlineBeforeDispatch,
            Self::TimedOut { written: true } => Reason::DeadlineAfterDispatch,
        }
    }
}

/// What a call permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// True if the request may run more than once.
    pub repeatable: bool,
    /// True if the whole body is held, so that it can be sent again.
    pub buffered: bool,
    /// Attempts that may run the request, at least one.
    pub max_attempts: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send the request again if time and the retry budget allow it.
    Retry,
    /// Tell the caller how the request ended.
    End(Outcome),
}

/// The attempts of one call so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    ran: u32,
    unknown: Option<Reason>,
    declined: Option<Reason>,
}

impl Attempts {
    /// Makes the trail of a call without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns true if an attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.unknown.is_some()
    }

    /// Returns true if the attempt that is under way may be given up for another one: the request may
    /// run again, and the class has attempts left.
    pub fn may_give_up(&self, call: Policy) -> bool {
        call.buffered && call.repeatable && self.ran + 1 < call.max_attempts
    }

    /// Records how an attempt ended and returns what to do.
    pub fn record(&mut self, event: Event, call: Policy) -> Verdict {
        let reason = event.reason();
        if event.may_have_run() {
            self.ran += 1;
            self.unknown = Some(reason);
        } else if reason != Reason::DeadlineBeforeDispatch {
            self.declined = Some(reason);
        }
        if self.may_retry(event, call) {
            Verdict::Retry
        } else {
            Verdict::End(self.conclude(reason))
        }
    }

    /// Returns the outcome of a call that ends for a reason which by itself means "did not run".
    ///
    /// The outcome is unknown if an earlier attempt may have run the request. If time ends between two
    /// attempts, the reason is why the last one failed, which tells more.
    pub fn conclude(&self, reason: Reason) -> Outcome {
        let late = reason == Reason::DeadlineBeforeDispatch;
        let reason = self.declined.filter(|_| late).unwrap_or(reason);
        self.unknown.map_or(Outcome::Refused(reason), Outcome::Unknown)
    }

    fn may_retry(&self, event: Event, call: Policy) -> bool {
        let sendable = call.buffered;
        match event {
            Event::ConnectFailed | Event::Unsent | Event::Refused(_) => sendable,
            Event::Lost | Event::GivenUp | Event::BadAnswer => {
                sendable && call.repeatable && self.ran < call.max_attempts
            }
            Event::BodyLost | Event::TimedOut { .. } => false,
        }
    }
}
