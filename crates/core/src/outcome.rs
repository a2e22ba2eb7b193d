//! Request outcomes and the closed set of their reasons.

use std::fmt;
use std::str::FromStr;

use crate::errors::Error;

/// What a response tells the caller about the execution of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The owning target answered.
    Answered,
    /// The request did not run.
    Refused(Reason),
    /// The request may or may not have run.
    Unknown(Reason),
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal / $status:literal),+ $(,)?) => {
        /// Why a request was refused or its outcome is unknown.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Reason {
            $($(#[$doc])* $name,)+
        }

        impl Reason {
            /// All reasons, in order of declaration.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)+];

            /// Returns the value of the reason header.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns the HTTP status of the reason.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }
        }

        impl FromStr for Reason {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                match text {
                    $($text => Ok(Self::$name),)+
                    _ => Err(Error::Reason(text.to_owned())),
                }
            }
        }
    };
}

reasons! {
    /// A header, the path or the framing of the request is invalid.
    BadRequest = "bad-request" / 400,
    /// No route matches the method and path.
    NoRoute = "no-route" / 404,
    /// A non-repeatable request has no idempotency key.
    KeyRequired = "idempotency-key-required" / 400,
    /// The idempotency key was used for a different request.
    KeyReused = "idempotency-key-reused" / 422,
    /// The body exceeds the limit of the document.
    BodyTooLarge = "body-too-large" / 413,
    /// The caller stopped sending its body.
    BodyIncomplete = "body-incomplete" / 400,
    /// The instance has no configuration yet or is stopping.
    NotReady = "not-ready" / 503,
    /// The instance does not coordinate the group, or no coordinator is known.
    NoCoordinator = "no-coordinator" / 503,
    /// The request was sent to an instance that does not coordinate the group.
    Misdirected = "misdirected" / 421,
    /// The shard currently has no owner.
    NoOwner = "no-owner" / 503,
    /// No target of the group accepts requests.
    NoTarget = "no-target" / 503,
    /// A queue is full.
    Overloaded = "overloaded" / 503,
    /// The deadline passed before the request was sent to a target.
    DeadlineBeforeDispatch = "deadline-before-dispatch" / 503,
    /// The target refused the request without running it.
    TargetRefused = "target-refused" / 503,
    /// The connection to the target or instance could not be opened.
    ConnectFailed = "connect-failed" / 503,
    /// The request has crashed targets and is not run again.
    Quarantined = "quarantined" / 503,
    /// The same non-repeatable request is currently running.
    InProgress = "in-progress" / 409,
    /// The deadline passed after the request was sent.
    DeadlineAfterDispatch = "deadline-after-dispatch" / 504,
    /// The connection failed after the request was sent.
    ConnectionLost = "connection-lost" / 502,
    /// The response was truncated or invalid.
    BadAnswer = "bad-answer" / 502,
    /// The outcome of an earlier attempt of a non-repeatable request is unknown.
    EarlierAttemptUnknown = "earlier-attempt-unknown" / 502,
    /// The ledger of non-repeatable requests may be incomplete.
    HistoryIncomplete = "history-incomplete" / 502,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
