//! Validation of a document. All findings are reported at once.

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;

use caraway_core::finding::Report;

use crate::errors::Error;
use crate::errors::Result;
use crate::relation;
use crate::rule;
use crate::rule::Field;
use crate::rule::Rule;
use crate::schema::Document;

/// Maximum length, in characters, of the excerpt of a text that a finding quotes.
const MAX_EXCERPT_CHARS: usize = 60;

/// Parses and checks the text of a document.
///
/// # Errors
///
/// The text is not JSON, or it has findings.
pub fn parse(text: &str) -> Result<Document> {
    let found: Value = serde_json::from_str(text).map_err(syntax_error)?;
    let report = value(&found);
    if !report.is_empty() {
        return Err(Error::Invalid(report));
    }
    // Deserializes from the text, because a `Value` has already dropped duplicate fields, which
    // must be reported.
    serde_json::from_str(text).map_err(|error| Error::Invalid(single_finding(&error.to_string())))
}

/// Checks a JSON value and deserializes the document.
///
/// # Errors
///
/// The value has findings.
pub(crate) fn deserialize(found: Value) -> Result<Document> {
    let report = value(&found);
    if !report.is_empty() {
        return Err(Error::Invalid(report));
    }
    serde_json::from_value(found)
        .map_err(|error| Error::Invalid(single_finding(&error.to_string())))
}

/// Checks a deserialized document.
///
/// # Errors
///
/// The document has findings.
pub fn document(document: &Document) -> Result<()> {
    let report = match serde_json::to_value(document) {
        Ok(found) => value(&found),
        Err(error) => single_finding(&error.to_string()),
    };
    if report.is_empty() { Ok(()) } else { Err(Error::Invalid(report)) }
}

/// Checks a JSON value and returns all findings.
pub fn value(found: &Value) -> Report {
    let mut report = Report::new();
    check_shape(found, &rule::DOCUMENT, "", &mut report);
    relation::check(found, &mut report);
    report
}

pub(crate) fn syntax_error(error: serde_json::Error) -> Error {
    Error::Syntax { line: error.line(), column: error.column(), message: error.to_string() }
}

fn single_finding(problem: &str) -> Report {
    let mut report = Report::new();
    report.add("", problem, "a document in which every field occurs once");
    report
}

fn check_shape(found: &Value, rule: &Rule, place: &str, report: &mut Report) {
    match (rule, found) {
        (Rule::Object(fields), Value::Object(object)) => {
            check_fields(object, fields, place, report)
        }
        (Rule::List(item, min, max), Value::Array(list)) => {
            if list.len() < *min || list.len() > *max {
                report.add(place, &format!("a list of {} items", list.len()), &rule.allowed());
            }
            for (index, value) in list.iter().enumerate() {
                check_shape(value, item, &format!("{place}/{index}"), report);
            }
        }
        _ if matches_scalar(rule, found) => {}
        _ => report.add(place, &describe(found), &rule.allowed()),
    }
}

fn check_fields(object: &Map<String, Value>, fields: &[Field], place: &str, report: &mut Report) {
    for field in fields {
        match object.get(field.name) {
            Some(value) => {
                check_shape(value, &field.rule, &format!("{place}/{}", field.name), report)
            }
            None if field.required => {
                report.add(place, &format!("no field {}", field.name), &field.rule.allowed());
            }
            None => {}
        }
    }
    for name in object.keys().filter(|name| fields.iter().all(|field| field.name != **name)) {
        let place = format!("{place}/{}", escape(name));
        report.add(&place, "unknown field", &format!("the fields {}", rule::field_names(fields)));
    }
}

fn matches_scalar(rule: &Rule, found: &Value) -> bool {
    match (rule, found) {
        (Rule::Name, Value::String(text)) => is_name(text),
        (Rule::Group, Value::String(text)) => is_group(text),
        (Rule::Prefix, Value::String(text)) => is_prefix(text),
        (Rule::Address, Value::String(text)) => is_address(text),
        (Rule::Choice(texts), Value::String(text)) => texts.contains(&text.as_str()),
        (Rule::Integer(min, max), Value::Number(number)) => {
            number.as_u64().is_some_and(|number| (*min..=*max).contains(&number))
        }
        (Rule::Boolean, Value::Bool(_)) => true,
        _ => false,
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=rule::MAX_NAME_BYTES).contains(&text.len())
        && !text.starts_with('-')
        && text.chars().all(allowed)
}

/// Returns true if a text has the form of a group name.
pub(crate) fn is_group(text: &str) -> bool {
    let mut parts = text.split('/');
    let (service, domain, number) = (parts.next(), parts.next(), parts.next());
    let number_is_valid = |text: &str| {
        (1..=rule::MAX_GROUP_NUMBER_DIGITS).contains(&text.len())
            && text.chars().all(|c| c.is_ascii_digit())
            && (text == "0" || !text.starts_with('0'))
    };
    parts.next().is_none()
        && service.is_some_and(is_name)
        && domain.is_some_and(is_name)
        && number.is_some_and(number_is_valid)
}

fn is_prefix(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._~-/".contains(c);
    text.len() <= rule::MAX_PREFIX_BYTES
        && text.starts_with('/')
        && text.ends_with('/')
        && !text.contains("//")
        && text.chars().all(allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0)
}

/// Returns a short description of a value for a finding.
fn describe(found: &Value) -> String {
    match found {
        Value::Null => "null".into(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) if text.chars().count() > MAX_EXCERPT_CHARS => {
            let start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
            format!("a text of {} bytes that starts with {start:?}", text.len())
        }
        Value::String(text) => format!("{text:?}"),
        Value::Array(list) => format!("a list of {} items", list.len()),
        Value::Object(_) => "an object".into(),
    }
}

/// Escapes a field name for a JSON pointer (RFC 6901).
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
