//! Samples of the submissions of a run.

use caraway_core::outcome::Reason;

/// Result of a submission as the caller observed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A complete response to this request, with its HTTP status.
    Answered(u16),
    /// The request did not run.
    Refused(Reason),
    /// The request may have run.
    Unknown(Reason),
    /// No instance accepted a connection, so the request was not sent.
    Unreachable,
    /// The connection was closed before the response head.
    Lost,
    /// The connection was closed within the response body, which the framing reveals.
    Broken,
    /// The response did not arrive within the caller's timeout.
    TimedOut,
    /// The framing is complete, but bytes of the body are missing.
    Truncated,
    /// The response belongs to another request or has unexpected content.
    Wrong,
    /// The response has no valid outcome or its status contradicts the outcome.
    Malformed,
}

impl Verdict {
    /// Returns true if the caller received a valid response to the request.
    pub fn answered(self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Returns true if the request did not run: it was refused or never sent.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreachable)
    }

    /// Returns the name of the verdict in reports, with its status or reason.
    pub fn name(self) -> String {
        match self {
            Self::Answered(status) => format!("answered {status}"),
            Self::Refused(reason) => format!("refused {reason}"),
            Self::Unknown(reason) => format!("unknown {reason}"),
            Self::Unreachable => "unreachable".to_owned(),
            Self::Lost => "connection lost".to_owned(),
            Self::Broken => "answer broken off".to_owned(),
            Self::TimedOut => "timed out".to_owned(),
            Self::Truncated => "truncated".to_owned(),
            Self::Wrong => "wrong".to_owned(),
            Self::Malformed => "malformed".to_owned(),
        }
    }
}

/// One submission of a request. Times are in microseconds since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Number of the request within the run.
    pub number: u64,
    /// Number of the submission: 0 for the first one.
    pub submission: u8,
    /// Index of the request kind.
    pub kind: u16,
    /// Number of the key.
    pub key: u32,
    /// Index of the entry address in the profile.
    pub entry: u16,
    /// Index in [`Record::incarnations`] of the target process that answered.
    pub incarnation: Option<u32>,
    /// Intended start of the submission, from which its latency is measured.
    pub intended_us: u64,
    /// End of the submission.
    pub ended_us: u64,
    /// Verdict of the caller.
    pub verdict: Verdict,
}

impl Sample {
    /// Returns the latency in microseconds, measured from the intended start.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.intended_us)
    }
}

/// Recorded data of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Samples ordered by intended start.
    pub samples: Vec<Sample>,
    /// Target processes that answered, each as `target/incarnation`.
    pub incarnations: Vec<String>,
    /// Descriptions of the first wrong, truncated and malformed responses.
    pub details: Vec<String>,
    /// Duration of the run in microseconds.
    pub duration_us: u64,
    /// Number of failed connection attempts.
    pub connect_failures: u64,
    /// Number of opened connections.
    pub connections: u64,
}
