//! What is kept about each submission of a request.

use caraway_core::outcome::Reason;

/// What the caller learned about a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A complete answer to this request, with its HTTP status.
    Answered(u16),
    /// The request did not run.
    Refused(Reason),
    /// The request may have run.
    Unknown(Reason),
    /// No instance accepted a connection, so the request was not sent.
    Unreachable,
    /// The connection ended before the head of an answer.
    Lost,
    /// The connection ended inside the body of an answer, and the framing shows it.
    Broken,
    /// No answer arrived within the caller's time limit.
    TimedOut,
    /// The framing says that the answer is complete, but bytes are missing.
    Truncated,
    /// The answer belongs to another request or its content is not the expected one.
    Wrong,
    /// The answer has no valid outcome or its status does not match the outcome.
    Malformed,
}

impl Verdict {
    /// Returns true if the caller has the answer.
    pub fn answered(self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Returns true if the caller was told or knows that the request did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreachable)
    }

    /// Returns the name of the verdict, with the reason if there is one.
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
    /// Zero for the first submission, then counting up.
    pub submission: u8,
    /// Index of the request kind.
    pub kind: u16,
    /// Key number.
    pub key: u32,
    /// Index of the entry address.
    pub entry: u16,
    /// Index in [`Record::incarnations`] of the target that answered.
    pub incarnation: Option<u32>,
    /// Moment from which the latency counts.
    pub intended_us: u64,
    /// Moment of the verdict.
    pub ended_us: u64,
    /// What the caller learned.
    pub verdict: Verdict,
}

impl Sample {
    /// Returns the latency in microseconds from the intended start.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.intended_us)
    }
}

/// Everything that a run kept.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Samples ordered by intended start.
    pub samples: Vec<Sample>,
    /// Targets that answered, each as `target/incarnation`.
    pub incarnations: Vec<String>,
    /// Descriptions of the first wrong, truncated and malformed answers.
    pub details: Vec<String>,
    /// Duration of the run in microseconds.
    pub duration_us: u64,
    /// Connections that could not be opened.
    pub connect_failures: u64,
    /// Connections that were opened.
    pub connections: u64,
}
