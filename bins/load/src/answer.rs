//! Judges the head and the body of an answer.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::body::Integrity;
use crate::sample::Verdict;
use caraway_core::header;
use caraway_core::outcome::Reason;

/// The parts of an answer's head that the verdict depends on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Request id of the answer.
    pub request_id: Option<String>,
    /// Outcome header.
    pub outcome: Option<String>,
    /// Reason header.
    pub reason: Option<String>,
    /// Refusal header of a target.
    pub refused: Option<String>,
}

impl Head {
    /// Reads the head of an answer.
    pub fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name)?.to_str().ok().map(str::to_owned);
        Self {
            status: status.as_u16(),
            request_id: text(header::REQUEST_ID),
            outcome: text(header::OUTCOME),
            reason: text(header::REASON),
            refused: text(header::REFUSED),
        }
    }

    /// Returns the verdict of the head for a submission.
    ///
    /// `ids` are the request ids of all submissions of the same request, because a repeated submission
    /// may be answered with the recorded answer to an earlier one. With `direct` the answer comes from
    /// a target, which sends no outcome.
    pub fn classify(&self, ids: &[String], direct: bool) -> Verdict {
        if !self.request_id.as_ref().is_some_and(|id| ids.contains(id)) {
            return Verdict::Wrong;
        }
        if direct {
            return match self.refused {
                Some(_) => Verdict::Refused(Reason::TargetRefused),
                None => Verdict::Answered(self.status),
            };
        }
        let reason = self.reason.as_ref().and_then(|text| text.parse::<Reason>().ok());
        match (self.outcome.as_deref(), reason) {
            (Some("answered"), None) => Verdict::Answered(self.status),
            (Some("refused"), Some(reason)) if self.refused_status() => Verdict::Refused(reason),
            (Some("unknown"), Some(reason)) if self.unknown_status() => Verdict::Unknown(reason),
            _ => Verdict::Malformed,
        }
    }

    fn refused_status(&self) -> bool {
        self.status == 503 || (400..500).contains(&self.status)
    }

    fn unknown_status(&self) -> bool {
        self.status == 502 || self.status == 504
    }
}

/// Combines the verdict of the head with what the body turned out to be.
///
/// Only answered requests have a body of the formula. The bodies of refusals are free text.
pub fn classify_body(verdict: Verdict, findings: &[Integrity]) -> Verdict {
    if !verdict.answered() || findings.contains(&Integrity::Whole) {
        return verdict;
    }
    if findings.contains(&Integrity::Truncated) { Verdict::Truncated } else { Verdict::Wrong }
}
