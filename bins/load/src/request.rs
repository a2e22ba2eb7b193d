//! Makes requests from a profile: which kind, which key, which headers.

use hyper::Request;

use crate::body::Upload;
use crate::errors::Error;
use crate::errors::Result;
use crate::profile::Kind;
use crate::profile::Profile;
use crate::random::Keys;
use crate::random::Random;
use caraway_core::header;

/// A request of a run before it is submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Number within the run.
    pub number: u64,
    /// Index of the kind.
    pub kind: usize,
    /// Key number.
    pub key: u32,
}

/// Draws the requests of a profile.
#[derive(Clone, Debug)]
pub struct Generator {
    seed: u64,
    weights: Vec<u64>,
    keys: Vec<Keys>,
}

impl Generator {
    /// Makes the source of a profile.
    pub fn new(profile: &Profile) -> Self {
        let mut sum = 0;
        let weights = profile.kinds.iter().map(|kind| {
            sum += u64::from(kind.weight);
            sum
        });
        Self {
            seed: profile.seed,
            weights: weights.collect(),
            keys: profile
                .kinds
                .iter()
                .map(|kind| Keys::new(kind.keys, &kind.distribution))
                .collect(),
        }
    }

    /// Returns request `number`. The result depends only on the profile and the number.
    pub fn generate(&self, number: u64) -> Spec {
        let mut random = Random::new(self.seed, number);
        let point = random.below(self.weights.last().copied().unwrap_or(0));
        let kind = self.weights.partition_point(|sum| *sum <= point);
        let key = self.keys.get(kind).map_or(0, |keys| keys.draw(&mut random));
        Spec { number, kind, key }
    }
}

/// Returns the request id of a submission.
pub fn request_id(run: &str, number: u64, submission: u8) -> String {
    match submission {
        0 => format!("{run}-{number}"),
        _ => format!("{run}-{number}.{submission}"),
    }
}

/// Returns the number and the submission of a request id of this run.
pub fn parse_id(run: &str, id: &str) -> Option<(u64, u8)> {
    let rest = id.strip_prefix(run)?.strip_prefix('-')?;
    match rest.split_once('.') {
        Some((number, submission)) => Some((number.parse().ok()?, submission.parse().ok()?)),
        None => Some((rest.parse().ok()?, 0)),
    }
}

/// Returns the idempotency key of a request, the same for all its submissions.
pub fn idempotency_key(run: &str, number: u64) -> String {
    format!("{run}-order-{number}")
}

/// Returns the path of a request.
pub fn path(kind: &Kind, key: u32) -> String {
    kind.path.replace("{key}", &format!("k{key}"))
}

/// Makes the HTTP request of a submission.
pub fn build(profile: &Profile, draft: &Spec, submission: u8) -> Result<Request<Upload>> {
    let bad = |problem: String| Error::Profile(problem);
    let kind = profile.kinds.get(draft.kind).ok_or_else(|| bad("no such kind".to_owned()))?;
    let mut builder = Request::builder()
        .method(kind.method.as_str())
        .uri(path(kind, draft.key))
        .header("host", "caraway")
        .header(header::REQUEST_ID, request_id(&profile.run, draft.number, submission));
    if kind.idempotency_key {
        builder =
            builder.header(header::IDEMPOTENCY_KEY, idempotency_key(&profile.run, draft.number));
    }
    if let Some(tenant) = &kind.tenant {
        builder = builder.header(header::TENANT, tenant);
    }
    if let Some(patience) = kind.patience_ms {
        builder = builder.header(header::PATIENCE, patience);
    }
    if let Some(bytes) = kind.answer_bytes {
        builder = builder.header("test-answer-bytes", bytes);
    }
    if let Some(millis) = kind.service_ms {
        builder = builder.header("test-service-ms", millis);
    }
    if profile.direct {
        builder = builder
            .header(header::KEY, format!("k{}", draft.key))
            .header(header::DEADLINE, kind.patience_ms.unwrap_or(profile.timeout_ms));
    }
    for (name, value) in &kind.headers {
        builder = builder.header(name, value);
    }
    builder.body(Upload::new(kind.body_bytes)).map_err(|error| bad(error.to_string()))
}
