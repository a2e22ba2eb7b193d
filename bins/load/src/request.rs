//! Generation of requests from a profile.

use hyper::Request;

use crate::body::Upload;
use crate::errors::Error;
use crate::errors::Result;
use crate::profile::Kind;
use crate::profile::Profile;
use crate::random::Keys;
use crate::random::Random;
use caraway_core::header;

/// Specification of a request of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Number of the request within the run.
    pub number: u64,
    /// Index of the request kind in the profile.
    pub kind: usize,
    /// Number of the key.
    pub key: u32,
}

/// Generates the requests of a profile.
#[derive(Clone, Debug)]
pub struct Generator {
    seed: u64,
    cumulative_weights: Vec<u64>,
    keys: Vec<Keys>,
}

impl Generator {
    /// Creates the generator of a profile.
    pub fn new(profile: &Profile) -> Self {
        let mut sum = 0;
        let cumulative_weights = profile.kinds.iter().map(|kind| {
            sum += u64::from(kind.weight);
            sum
        });
        Self {
            seed: profile.seed,
            cumulative_weights: cumulative_weights.collect(),
            keys: profile
                .kinds
                .iter()
                .map(|kind| Keys::new(kind.keys, &kind.distribution))
                .collect(),
        }
    }

    /// Returns request `number`, which depends only on the profile and the number.
    pub fn generate(&self, number: u64) -> Spec {
        let mut random = Random::new(self.seed, number);
        let threshold = random.below(self.cumulative_weights.last().copied().unwrap_or(0));
        let kind = self.cumulative_weights.partition_point(|sum| *sum <= threshold);
        let key = self.keys.get(kind).map_or(0, |keys| keys.sample(&mut random));
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

/// Parses the request number and the submission from a request id of the run.
pub fn parse_id(run: &str, id: &str) -> Option<(u64, u8)> {
    let rest = id.strip_prefix(run)?.strip_prefix('-')?;
    match rest.split_once('.') {
        Some((number, submission)) => Some((number.parse().ok()?, submission.parse().ok()?)),
        None => Some((rest.parse().ok()?, 0)),
    }
}

/// Returns the idempotency key of a request, which all its submissions share.
pub fn idempotency_key(run: &str, number: u64) -> String {
    format!("{run}-order-{number}")
}

/// Returns the path of a request for a key.
pub fn path(kind: &Kind, key: u32) -> String {
    kind.path.replace("{key}", &format!("k{key}"))
}

/// Builds the HTTP request of a submission.
pub fn build(profile: &Profile, spec: &Spec, submission: u8) -> Result<Request<Upload>> {
    let invalid = |problem: String| Error::Profile(problem);
    let kind = profile.kinds.get(spec.kind).ok_or_else(|| invalid("no such kind".to_owned()))?;
    let mut builder = Request::builder()
        .method(kind.method.as_str())
        .uri(path(kind, spec.key))
        .header("host", "caraway")
        .header(header::REQUEST_ID, request_id(&profile.run, spec.number, submission));
    if kind.idempotency_key {
        builder =
            builder.header(header::IDEMPOTENCY_KEY, idempotency_key(&profile.run, spec.number));
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
    if let Some(service_ms) = kind.service_ms {
        builder = builder.header("test-service-ms", service_ms);
    }
    if profile.direct {
        builder = builder
            .header(header::KEY, format!("k{}", spec.key))
            .header(header::DEADLINE, kind.patience_ms.unwrap_or(profile.timeout_ms));
    }
    for (name, value) in &kind.headers {
        builder = builder.header(name, value);
    }
    builder.body(Upload::new(kind.body_bytes)).map_err(|error| invalid(error.to_string()))
}
