//! HTTP header names of the protocol, in lower case.

/// Tenant of the caller.
pub const TENANT: &str = "caraway-tenant";
/// ID of one submission of a request.
pub const REQUEST_ID: &str = "caraway-request-id";
/// Idempotency key: identifies a non-repeatable request across its submissions.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time in milliseconds that the caller is willing to wait.
pub const PATIENCE: &str = "caraway-patience-ms";
/// Outcome of a request: `answered`, `refused` or `unknown`.
pub const OUTCOME: &str = "caraway-outcome";
/// Reason of an outcome other than `answered`.
pub const REASON: &str = "caraway-reason";
/// Group to which a request is forwarded.
pub const GROUP: &str = "caraway-group";
/// Term under which the sender knows the coordinator of the group.
pub const TERM: &str = "caraway-term";
/// Shard of the request.
pub const SHARD: &str = "caraway-shard";
/// Key of the request.
pub const KEY: &str = "caraway-key";
/// Call class of a forwarded request.
pub const CLASS: &str = "caraway-class";
/// Time in milliseconds until the deadline of the request.
pub const DEADLINE: &str = "caraway-deadline-ms";
/// Number of instances that a forwarded request has passed.
pub const HOPS: &str = "caraway-hops";
/// Configuration version of the sender.
pub const CONFIG: &str = "caraway-config";
/// Fencing token of a request to a target, of the form `term.seq`.
pub const TOKEN: &str = "caraway-token";
/// Reason of a refusal by a target; the request did not run.
pub const REFUSED: &str = "caraway-refused";
/// Target that answered.
pub const TARGET: &str = "caraway-target";
/// Incarnation of the target that answered.
pub const INCARNATION: &str = "caraway-incarnation";
