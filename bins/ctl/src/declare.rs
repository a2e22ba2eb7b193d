//! The commands `declare gone`, `declare withdraw` and `declare list`.

use serde_json::json;

use caraway_store::declaration;
use caraway_store::declaration::Declarations;
use caraway_store::declaration::Gone;
use caraway_store::errors::Error as StoreError;
use caraway_store::write::Outcome;

use crate::command::Output;
use crate::errors::Error;
use crate::errors::Result;
use crate::flag::DomainFlags;
use crate::store;
use crate::table;

/// Maximum length of a name in bytes, as in the environment document.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a reason or source in bytes. It limits the declarations of a failure domain with 150
/// members to 80 KB.
const MAX_TEXT_BYTES: usize = 200;

/// Declares an instance or target gone.
///
/// # Errors
///
/// An argument is not valid, the store does not respond, or every attempt conflicted with another writer.
pub fn gone(flags: &DomainFlags, name: &str, reason: &str, source: Option<&str>) -> Result<Output> {
    let user = std::env::var("USER").unwrap_or_default();
    let user = if user.is_empty() { "operator" } else { &user };
    let source = source.unwrap_or(user);
    check_name("name", name)?;
    check_text("reason", reason)?;
    check_text("source", source)?;
    let gone = Gone { name: name.to_owned(), reason: reason.to_owned(), source: source.to_owned() };
    let mut declare = |declarations: &mut Declarations| declarations.declare(gone.clone());
    let (changed, declarations) = change(flags, &mut declare)?;
    let domain = &flags.failure_domain;
    let text = match declarations.find(name).filter(|_| !changed) {
        Some(existing) => format!(
            "{name} of {domain} is declared gone already by {}: {}\n",
            table::escape_control(&existing.source),
            table::escape_control(&existing.reason)
        ),
        None => format!(
            "{name} of {domain} is declared gone. Event 802 at instances of {domain} confirms it. \
             Withdraw the declaration before a process of this name is started again\n"
        ),
    };
    Ok(Output {
        text,
        json: json!({ "changed": changed, "declarations": declarations }),
        succeeded: true,
    })
}

/// Withdraws the declaration for a name.
///
/// # Errors
///
/// As for [`gone`].
pub fn withdraw(flags: &DomainFlags, name: &str) -> Result<Output> {
    check_name("name", name)?;
    let mut withdraw = |declarations: &mut Declarations| declarations.withdraw(name);
    let (changed, declarations) = change(flags, &mut withdraw)?;
    let domain = &flags.failure_domain;
    let text = if changed {
        format!(
            "the declaration for {name} of {domain} is withdrawn; decisions that instances have based on it are not reverted\n"
        )
    } else {
        format!("there is no declaration for {name} of {domain}\n")
    };
    Ok(Output {
        text,
        json: json!({ "changed": changed, "declarations": declarations }),
        succeeded: changed,
    })
}

/// Lists the declarations of an environment.
///
/// # Errors
///
/// The store does not respond or contains a value that is not a declaration.
pub fn list(address: &str, environment: &str) -> Result<Output> {
    check_name("environment", environment)?;
    let client = store::client(address);
    let prefix = declaration::prefix(environment);
    let found = client.watch(&prefix, 0, std::time::Duration::ZERO);
    let url = client.url(&prefix);
    let found = found.map_err(|error| store::call_error("watch", &url, &error))?;
    let mut rows = Vec::new();
    let mut domains = serde_json::Map::new();
    for value in found.changes {
        let Some(text) = value.value else { continue };
        let declarations: Declarations = serde_json::from_str(&text).map_err(|error| {
            let error = StoreError::Invalid(error.to_string());
            store::call_error("GET", &client.url(&value.key), &error)
        })?;
        let domain = value.key.strip_prefix(&prefix).unwrap_or(&value.key).to_owned();
        let row = |gone: &Gone| {
            vec![domain.clone(), gone.name.clone(), gone.source.clone(), gone.reason.clone()]
        };
        rows.extend(declarations.gone.iter().map(row));
        domains.insert(domain, json!(declarations.gone));
    }
    rows.sort();
    let text = if rows.is_empty() {
        "no declarations\n".to_owned()
    } else {
        table::render(&["DOMAIN", "GONE", "DECLARED BY", "REASON"], rows)
    };
    Ok(Output { text, json: json!({ "gone": domains }), succeeded: true })
}

/// Changes the declarations of a failure domain. Returns whether they were written, and the result.
fn change(
    flags: &DomainFlags,
    change: &mut dyn FnMut(&mut Declarations) -> bool,
) -> Result<(bool, Declarations)> {
    check_name("environment", &flags.environment)?;
    check_name("failure domain", &flags.failure_domain)?;
    let client = store::client(&flags.store.store);
    let key = declaration::key(&flags.environment, &flags.failure_domain);
    match declaration::change(&client, &key, change) {
        Ok(Outcome::Written { record, .. }) => Ok((true, record)),
        Ok(Outcome::Unchanged { record, .. }) => Ok((false, record)),
        Ok(Outcome::Lost) => Err(Error::Contention(key)),
        Err(StoreError::NoAnswer(problem)) => {
            let problem =
                format!("{problem}. The change may have been written; the command can be repeated");
            Err(store::call_error("change of", &client.url(&key), &StoreError::NoAnswer(problem)))
        }
        Err(error) => Err(store::call_error("change of", &client.url(&key), &error)),
    }
}

fn check_name(what: &str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(allowed) {
        return Ok(());
    }
    let problem = format!(
        "the {what} {name:?} is not valid; allowed are letters, digits, - and _, 1 to {MAX_NAME_BYTES} characters"
    );
    Err(Error::Usage(problem))
}

fn check_text(what: &str, text: &str) -> Result<()> {
    let printable = !text.chars().any(char::is_control);
    if (1..=MAX_TEXT_BYTES).contains(&text.trim().len())
        && text.len() <= MAX_TEXT_BYTES
        && printable
    {
        return Ok(());
    }
    let problem =
        format!("the {what} must have 1 to {MAX_TEXT_BYTES} bytes without control characters");
    Err(Error::Usage(problem))
}
