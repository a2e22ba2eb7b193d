//! Classification of responses by head and body.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::body::Integrity;
use crate::sample::Verdict;
use caraway_core::header;
use caraway_core::outcome::Reason;

/// Fields of a response head that determine the verdict.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Request id that the response echoes.
    pub request_id: Option<String>,
    /// Value of the outcome header.
    pub outcome: Option<String>,
    /// Value of the reason header.
    pub reason: Option<String>,
    /// Value of a target's refusal header.
    pub refused: Option<String>,
}

impl Head {
    /// Extracts the fields from a response head.
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

    /// Returns the verdict that the head implies for a submission.
    ///
    /// `ids` are the request ids of all submissions of the same request, because a resubmission may
    /// receive the recorded response to an earlier submission. With `direct` the response comes from a
    /// target, which sends no outcome header.
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
            (Some("refused"), Some(reason)) if self.is_refused_status() => Verdict::Refused(reason),
            (Some("unknown"), Some(reason)) if self.is_unknown_status() => Verdict::Unknown(reason),
            _ => Verdict::Malformed,
        }
    }

    fn is_refused_status(&self) -> bool {
        self.status == 503 || (400..500).contains(&self.status)
    }

    fn is_unknown_status(&self) -> bool {
        self.status == 502 || self.status == 504
    }
}

/// Combines the verdict of the head with the integrity of the body against each accepted request id.
///
/// Only responses to answered requests have a generated body. The bodies of refusals are free text.
pub fn classify_body(verdict: Verdict, integrity: &[Integrity]) -> Verdict {
    if !verdict.answered() || integrity.contains(&Integrity::Complete) {
        return verdict;
    }
    if integrity.contains(&Integrity::Truncated) { Verdict::Truncated } else { Verdict::Wrong }
}
