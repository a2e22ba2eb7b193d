//! Rules for the shape of a document: its fields and their allowed values.
//!
//! Both the checks and the published JSON Schema are derived from these tables, so that they cannot
//! differ.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Maximum length of a name in bytes. Names are used as metric labels and in store keys.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a path prefix in bytes. It bounds the cost of a route lookup.
pub const MAX_PREFIX_BYTES: usize = 256;
/// Maximum number of digits of a group number. Four are sufficient, because a service has at most 4096
/// targets.
pub const MAX_GROUP_NUMBER_DIGITS: usize = 4;
/// Pattern of a name, for the JSON Schema.
const NAME_PATTERN: &str = "^[a-z0-9][a-z0-9-]{0,62}$";
/// Pattern of a group name, for the JSON Schema.
const GROUP_PATTERN: &str = "^[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9-]{0,62}/(0|[1-9][0-9]{0,3})$";
/// Pattern of a path prefix, for the JSON Schema.
const PREFIX_PATTERN: &str = "^/([A-Za-z0-9._~-]+/)*$";
/// Pattern of an address, for the JSON Schema. It accepts more than the check, which parses the
/// address.
const ADDRESS_PATTERN: &str = "^([0-9.]+|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}$";

/// Constraint on a value.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// A lowercase name.
    Name,
    /// A group name of the form `service/domain/n`.
    Group,
    /// A path prefix.
    Prefix,
    /// An IP address with a port other than 0.
    Address,
    /// An integer in an inclusive range.
    Integer(u64, u64),
    /// A boolean.
    Boolean,
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list whose items follow a rule, with a minimum and a maximum number of items.
    List(&'static Rule, usize, usize),
    /// An object with these fields and no others.
    Object(&'static [Field]),
}

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Whether the field must be present.
    pub required: bool,
    /// Description of the field, with the relations that the JSON Schema cannot express.
    pub description: &'static str,
    /// Rule for the value.
    pub rule: Rule,
}

const fn field(name: &'static str, rule: Rule, description: &'static str) -> Field {
    Field { name, required: true, description, rule }
}

/// Maximum patience in milliseconds. The ledger keeps outcomes for 10 minutes, and no call may
/// outlive its ledger entry.
const MAX_PATIENCE_MS: u64 = 600_000;
/// Maximum number of tenants. Together with the maximum numbers of classes and services it bounds
/// the number of metric label sets.
const MAX_TENANTS: usize = 64;
const MAX_CLASSES: usize = 32;
const MAX_SERVICES: usize = 256;

const CLASS: Rule = Rule::Object(&[
    field("name", Rule::Name, "Name of the class, unique."),
    field(
        "patience_ms",
        Rule::Integer(1, MAX_PATIENCE_MS),
        "Longest time from arrival to answer in milliseconds.",
    ),
    field("repeatable", Rule::Boolean, "Whether a request may run more than once."),
    field("urgency", Rule::Choice(&["urgent", "normal", "bulk"]), "Urgency in queues."),
    field(
        "attempts",
        Rule::Integer(1, 10),
        "Attempts of a request; 1 if the class is not repeatable.",
    ),
]);

const TARGET: Rule = Rule::Object(&[
    field("name", Rule::Name, "Name of the target, unique in the document."),
    field("failure_domain", Rule::Name, "Failure domain, one of failure_domains."),
    field("address", Rule::Address, "Address of the HTTP listener, unique in the document."),
]);

const PLACEMENT: Rule = Rule::Object(&[
    field("group", Rule::Group, "Group with targets of the service, at most once in the list."),
    field("first", Rule::Integer(0, 65_535), "First shard of the group."),
    field(
        "last",
        Rule::Integer(0, 65_535),
        "Last shard of the group, at least first and less than shards.",
    ),
]);

const SERVICE: Rule = Rule::Object(&[
    field("name", Rule::Name, "Name of the service, unique."),
    field(
        "division",
        Rule::Choice(&["keyed", "pooled"]),
        "keyed: every key has one owning target; pooled: any target may run any request.",
    ),
    Field {
        name: "shards",
        required: false,
        description: "Number of shards. Required for a keyed service, at least one for each target; \
                  64 for a pooled service that does not state it, at least one for each group.",
        rule: Rule::Integer(1, 65_536),
    },
    field(
        "fencing",
        Rule::Choice(&["checked", "unchecked"]),
        "Whether the targets refuse requests with a stale token.",
    ),
    field("slots", Rule::Integer(1, 4096), "Requests that a target runs at once."),
    field(
        "connections",
        Rule::Integer(1, 65_535),
        "Connections that a target accepts, at least as many as slots.",
    ),
    field(
        "queue",
        Rule::Integer(1, 65_536),
        "Requests that may wait in the queue of a group, for each of its targets.",
    ),
    field(
        "warmup_ms",
        Rule::Integer(0, 600_000),
        "Time in milliseconds over which a cold target ramps up.",
    ),
    field("targets", Rule::List(&TARGET, 1, 4096), "Targets of the service."),
    Field {
        name: "placement",
        required: false,
        description: "Shards of each group. If it is absent, the shards are divided in proportion to the \
                  number of targets.",
        rule: Rule::List(&PLACEMENT, 1, 4096),
    },
]);

const ROUTE: Rule = Rule::Object(&[
    field(
        "method",
        Rule::Choice(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
        "HTTP method.",
    ),
    field(
        "prefix",
        Rule::Prefix,
        "Path prefix; the next path segment is the key. Unique for each method.",
    ),
    field("service", Rule::Name, "Service of the route, one of services."),
    field("class", Rule::Name, "Class of the route, one of classes."),
]);

const LIMITS: Rule = Rule::Object(&[
    field(
        "buffered_body_bytes",
        Rule::Integer(0, 16_777_216),
        "Longest body that is buffered so that a request can be retried; at most body_bytes.",
    ),
    field("body_bytes", Rule::Integer(1, 1 << 40), "Longest accepted body."),
    field("header_bytes", Rule::Integer(1024, 1_048_576), "Longest accepted header section."),
    field(
        "idle_ms",
        Rule::Integer(100, 3_600_000),
        "Time in milliseconds after which an idle caller connection is closed.",
    ),
]);

/// Rule for the whole document.
pub const DOCUMENT: Rule = Rule::Object(&[
    field("format", Rule::Integer(1, 1), "Format number of the document."),
    field("environment", Rule::Name, "Name of the environment."),
    field("failure_domains", Rule::List(&Rule::Name, 1, 64), "Failure domains, unique."),
    field(
        "tenants",
        Rule::List(&Rule::Name, 0, MAX_TENANTS),
        "Tenants that get metrics of their own, unique.",
    ),
    field("classes", Rule::List(&CLASS, 1, MAX_CLASSES), "Call classes."),
    field("services", Rule::List(&SERVICE, 1, MAX_SERVICES), "Services with their targets."),
    field("routes", Rule::List(&ROUTE, 1, 1024), "Routes."),
    field("limits", LIMITS, "Limits of the data path."),
]);

impl Rule {
    /// Returns a description of the allowed values.
    pub fn allowed(&self) -> String {
        match self {
            Self::Name => {
                format!("a-z, 0-9 and -, not starting with -, 1 to {MAX_NAME_BYTES} characters")
            }
            Self::Group => "a group name of the form service/domain/n, with n from 0".into(),
            Self::Prefix => format!(
                "a path of / and segments of A-Z, a-z, 0-9, ., _, ~ and -, starting and ending \
                 with /, at most {MAX_PREFIX_BYTES} bytes"
            ),
            Self::Address => "an IP address and a port from 1 to 65535, as in 127.0.0.1:80".into(),
            Self::Integer(min, max) if min == max => format!("{min}"),
            Self::Integer(min, max) => format!("an integer from {min} to {max}"),
            Self::Boolean => "true or false".into(),
            Self::Choice(texts) => texts.join(", "),
            Self::List(_, min, max) => format!("a list of {min} to {max} items"),
            Self::Object(fields) => format!("an object with the fields {}", field_names(fields)),
        }
    }

    /// Renders the rule as JSON Schema.
    pub fn json_schema(&self) -> Value {
        match self {
            Self::Name => json!({ "type": "string", "pattern": NAME_PATTERN }),
            Self::Group => json!({ "type": "string", "pattern": GROUP_PATTERN }),
            Self::Prefix => {
                json!({ "type": "string", "pattern": PREFIX_PATTERN, "maxLength": MAX_PREFIX_BYTES })
            }
            Self::Address => json!({ "type": "string", "pattern": ADDRESS_PATTERN }),
            Self::Integer(min, max) if min == max => json!({ "const": min }),
            Self::Integer(min, max) => {
                json!({ "type": "integer", "minimum": min, "maximum": max })
            }
            Self::Boolean => json!({ "type": "boolean" }),
            Self::Choice(texts) => json!({ "enum": texts }),
            Self::List(item, min, max) => json!({
                "type": "array", "items": item.json_schema(), "minItems": min, "maxItems": max,
            }),
            Self::Object(fields) => object_schema(fields),
        }
    }
}

/// Returns the field names, separated by commas.
pub fn field_names(fields: &[Field]) -> String {
    fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", ")
}

fn object_schema(fields: &[Field]) -> Value {
    let mut properties = Map::new();
    for field in fields {
        let mut schema = field.rule.json_schema();
        if let Some(schema) = schema.as_object_mut() {
            schema.insert("description".into(), field.description.into());
        }
        properties.insert(field.name.into(), schema);
    }
    let required: Vec<_> =
        fields.iter().filter(|field| field.required).map(|field| field.name).collect();
    json!({
        "type": "object", "additionalProperties": false,
        "required": required, "properties": properties,
    })
}

/// Returns the JSON Schema of the document. It covers the shape only; relations between fields,
/// such as the class that a route names, are checked by [`crate::check`].
pub fn json_schema() -> Value {
    let mut schema = DOCUMENT.json_schema();
    if let Some(schema) = schema.as_object_mut() {
        schema.insert("$schema".into(), "https://json-schema.org/draft/2020-12/schema".into());
        schema.insert("title".into(), "carawayscale environment document".into());
    }
    schema
}
