//! Outcomes of a request and the closed list of their reasons.

use std::fmt;
use std::str::FromStr;

use crate::errors::Error;

/// What is known about a request when its caller gets an answer.
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
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)+];

            /// Returns the value of the reason header.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns the HTTP status that goes with the reason.
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
    /// A header, the path or the framing of the request is not valid.
    BadRequest = "bad-request" / 400,
    /// No route matches method and path.
    NoRoute = "no-route" / 404,
    /// A non-repeatable request has no idempotency key.
    KeyRequired = "idempotency-key-required" / 400,
    /// The idempotency key was used for a different request.
    KeyReused = "idempotency-key-reused" / 422,
    /// The body is larger than the document allows.
    BodyTooLarge = "body-too-large" / 413,
    /// The caller stopped sending its body.
    BodyIncomplete = "body-incomplete" / 400,
    /// The instance has no configuration yet or is stopping.
    NotReady = "not-ready" / 503,
    /// The instance does not coordinate the group, or no coordinator is known.
    NoCoordinator = "no-coordinator" / 503,
    /// The request was sent to an instance that does not coordinate the group.
    Misdirected = "misdirected" / 421,
    /// The shard has no owner at the moment.
    NoOwner = "no-owner" / 503,
    /// No target of the group accepts work.
    NoTarget = "no-target" / 503,
    /// A queue is full.
    Overloaded = "overloaded" / 503,
    /// The time allowed for the request ended before it was sent to a target.
    DeadlineBeforeDispatch = "deadline-before-dispatch" / 503,
    /// The target refused the request and said that it did not run.
    TargetRefused = "target-refused" / 503,
    /// The connection to the target or instance could not be opened.
    ConnectFailed = "connect-failed" / 503,
    /// The request crashed targets before and is not run again.
    Quarantined = "quarantined" / 503,
    /// The same non-repeatable request is running now.
    InProgress = "in-progress" / 409,
    /// The time allowed for the request ended after it was sent.
    DeadlineAfterDispatch = "deadline-after-dispatch" / 504,
    /// The connection failed after the request was sent.
    ConnectionLost = "connection-lost" / 502,
    /// The answer ended early or was not valid.
    BadAnswer = "bad-answer" / 502,
    /// An earlier attempt of a non-repeatable request has no known outcome.
    EarlierAttemptUnknown = "earlier-attempt-unknown" / 502,
    /// The record of earlier non-repeatable requests may have gaps.
    HistoryIncomplete = "history-incomplete" / 502,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
