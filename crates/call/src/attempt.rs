//! Retry decisions, and the outcome that follows from how the attempts of a call ended.

use caraway_core::outcome::Outcome;
use caraway_core::outcome::Reason;

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// No connection could be opened, so no byte was written.
    ConnectFailed,
    /// A connection was open and no byte was written, for example because the permit expired first.
    Unsent,
    /// The other side reported that the request did not run.
    Refused(Reason),
    /// The connection failed after a byte was written.
    Lost,
    /// The attempt was abandoned after a byte was written, because another target or instance owns
    /// the key now. This does not indicate a failure of the other side.
    GivenUp,
    /// The request body from the caller ended early after a byte was written.
    BodyLost,
    /// The answer was truncated or invalid before any of it was forwarded.
    BadAnswer,
    /// The deadline of the call passed.
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

    /// Returns the reason to report to the caller.
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

/// Retry policy of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// True if the request is idempotent and may run more than once.
    pub repeatable: bool,
    /// True if the whole body is buffered, so that it can be sent again.
    pub buffered: bool,
    /// Maximum number of attempts that may run the request, at least one.
    pub max_attempts: u32,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send the request again if the deadline and the retry budget allow it.
    Retry,
    /// Report the outcome to the caller.
    End(Outcome),
}

/// The attempts of one call so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    possible_runs: u32,
    unknown_reason: Option<Reason>,
    refusal_reason: Option<Reason>,
}

impl Attempts {
    /// Creates the record of a call without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns true if an attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.unknown_reason.is_some()
    }

    /// Returns true if the current attempt may be abandoned for another one: the request may run again,
    /// and the policy allows another attempt.
    pub fn may_give_up(&self, policy: Policy) -> bool {
        policy.buffered && policy.repeatable && self.possible_runs + 1 < policy.max_attempts
    }

    /// Records how an attempt ended and returns what to do next.
    pub fn record(&mut self, event: Event, policy: Policy) -> Verdict {
        let reason = event.reason();
        if event.may_have_run() {
            self.possible_runs += 1;
            self.unknown_reason = Some(reason);
        } else if reason != Reason::DeadlineBeforeDispatch {
            self.refusal_reason = Some(reason);
        }
        if self.may_retry(event, policy) {
            Verdict::Retry
        } else {
            Verdict::End(self.conclude(reason))
        }
    }

    /// Returns the outcome of a call that ends for a reason which by itself means "did not run".
    ///
    /// The outcome is unknown if an earlier attempt may have run the request. If the deadline passes
    /// between two attempts, the reason of the last refusal is reported, which is more specific.
    pub fn conclude(&self, reason: Reason) -> Outcome {
        let timed_out = reason == Reason::DeadlineBeforeDispatch;
        let reason = self.refusal_reason.filter(|_| timed_out).unwrap_or(reason);
        self.unknown_reason.map_or(Outcome::Refused(reason), Outcome::Unknown)
    }

    fn may_retry(&self, event: Event, policy: Policy) -> bool {
        let resendable = policy.buffered;
        match event {
            Event::ConnectFailed | Event::Unsent | Event::Refused(_) => resendable,
            Event::Lost | Event::GivenUp | Event::BadAnswer => {
                resendable && policy.repeatable && self.possible_runs < policy.max_attempts
            }
            Event::BodyLost | Event::TimedOut { .. } => false,
        }
    }
}
