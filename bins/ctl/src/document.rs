//! The commands `check`, `diff`, `placement`, `put` and `promote`.

use std::path::Path;

use serde_json::json;

use caraway_core::finding::Report;
use caraway_document::check;
use caraway_document::diff;
use caraway_document::diff::Diff;
use caraway_document::envelope::Envelope;
use caraway_document::plan::Plan;
use caraway_document::schema::Document;
use caraway_store::client::Client;
use caraway_store::swap;

use crate::command::Output;
use crate::errors::Error;
use crate::errors::Result;
use crate::flag::Stage;
use crate::store;
use crate::table;

/// Checks the document in a file.
///
/// # Errors
///
/// The file cannot be read.
pub fn check(path: &Path) -> Result<Output> {
    let text = read_file(path)?;
    Ok(match check::parse(&text).and_then(|document| Plan::try_new(&document, 0)) {
        Ok(plan) => valid_output(path, &plan),
        Err(invalid) => findings_output(path, &invalid.report()),
    })
}

fn valid_output(path: &Path, plan: &Plan) -> Output {
    let targets: usize = plan.groups.iter().map(|group| group.targets.len()).sum();
    let text = format!(
        "{}: valid; environment {}, {} failure domains, {} groups, {targets} targets, {} routes\n",
        path.display(),
        plan.environment,
        plan.domains.len(),
        plan.groups.len(),
        plan.routes.len()
    );
    let json = json!({ "valid": true, "environment": plan.environment, "findings": [] });
    Output { text, json, succeeded: true }
}

fn findings_output(path: &Path, report: &Report) -> Output {
    let rows = report.findings().iter().map(|finding| {
        let place = if finding.place.is_empty() { "(document)" } else { &finding.place };
        vec![place.to_owned(), finding.problem.clone(), finding.allowed.clone()]
    });
    let table = table::render(&["PLACE", "FOUND", "ALLOWED"], rows.collect());
    let text = format!("{}: {} findings\n{table}", path.display(), report.findings().len());
    Output { text, json: json!({ "valid": false, "findings": report }), succeeded: false }
}

/// Prints the document in a file with the effective placement of every service made explicit.
///
/// # Errors
///
/// The file cannot be read or is not a valid document.
pub fn placement(path: &Path) -> Result<Output> {
    let mut document = load(path)?;
    let plan = Plan::try_new(&document, 0)
        .map_err(|source| Error::Document { name: path.display().to_string(), source })?;
    for service in &mut document.services {
        service.placement = Some(plan.placement(&service.name));
    }
    let json = json!(document);
    let text = serde_json::to_string_pretty(&document).unwrap_or_else(|_| json.to_string());
    Ok(Output { text: format!("{text}\n"), json, succeeded: true })
}

/// Compares the documents in two files.
///
/// # Errors
///
/// A file cannot be read or is not a valid document.
pub fn diff(old: &Path, new: &Path) -> Result<Output> {
    let difference = compare(&load(old)?, &load(new)?, &new.display().to_string())?;
    let succeeded = difference.findings.is_empty();
    Ok(Output { text: describe(&difference), json: json!(difference), succeeded })
}

fn compare(old: &Document, new: &Document, name: &str) -> Result<Diff> {
    diff::compare(old, new).map_err(|source| Error::Document { name: name.to_owned(), source })
}

fn describe(difference: &Diff) -> String {
    let mut text = String::new();
    for change in &difference.changes {
        text.push_str(&table::escape_control(&change.to_string()));
        text.push('\n');
    }
    if difference.changes.is_empty() {
        text.push_str("no changes\n");
    }
    for step in &difference.moves {
        let shards = u64::from(step.last - step.first) + 1;
        text.push_str(&format!(
            "! {} {shards} shards ({} to {}) would move from {} to {}\n",
            step.service, step.first, step.last, step.from, step.to
        ));
    }
    if !difference.findings.is_empty() {
        text.push_str("\nThis change cannot be promoted:\n");
        for finding in difference.findings.findings() {
            text.push_str(&format!("{}\n", table::escape_control(&finding.to_string())));
        }
    }
    text
}

/// Stores the document in a file under the key of a stage.
///
/// # Errors
///
/// The file cannot be read or is not a valid document, or the write fails.
pub fn put(address: &str, stage: Stage, path: &Path) -> Result<Output> {
    if stage != Stage::Trial {
        let problem = "put stores in the trial stage only; use promote to change production";
        return Err(Error::Usage(problem.into()));
    }
    let document = load(path)?;
    let client = store::client(address);
    let key = store::key(&document.environment, stage);
    let expect = store::get(&client, &key)?.map_or(0, |stored| stored.revision);
    let envelope = Envelope { write_id: swap::write_id(), document };
    let version = store::write(&client, &key, &envelope, expect)?;
    let text = format!(
        "stored {} under {key} as version {version}, write ID {}\n",
        path.display(),
        envelope.write_id
    );
    let json = json!({ "key": key, "version": version, "write_id": envelope.write_id });
    Ok(Output { text, json, succeeded: true })
}

/// Promotes the document of one stage to another.
///
/// # Errors
///
/// There is no document to promote, it must not replace the current one, another promotion was accepted
/// first, or the store does not respond.
pub fn promote(address: &str, environment: &str, from: Stage, to: Stage) -> Result<Output> {
    if from == to {
        return Err(Error::Usage(format!("--from and --to are both {from}")));
    }
    let client = store::client(address);
    let (source_key, target_key) = (store::key(environment, from), store::key(environment, to));
    let (_, document) =
        read_stored(&client, &source_key)?.ok_or_else(|| Error::NotFound(source_key.clone()))?;
    if document.environment != environment {
        let mut report = Report::new();
        let problem = format!("the document is for environment {:?}", document.environment);
        report.add("/environment", &problem, environment);
        return Err(Error::ChangeRejected(report));
    }
    let mut expect = 0;
    let mut difference = None;
    if let Some((revision, current)) = read_stored(&client, &target_key)? {
        if current == document {
            return Ok(unchanged_output(&target_key, revision));
        }
        let found = compare(&current, &document, &source_key)?;
        if !found.findings.is_empty() {
            return Err(Error::ChangeRejected(found.findings));
        }
        expect = revision;
        difference = Some(found);
    }
    let envelope = Envelope { write_id: swap::write_id(), document };
    let version = store::write(&client, &target_key, &envelope, expect)?;
    Ok(promoted_output(&target_key, version, &envelope.write_id, difference.as_ref()))
}

/// Reads the revision and the document stored under a key.
fn read_stored(client: &Client, key: &str) -> Result<Option<(u64, Document)>> {
    let Some(found) = store::get(client, key)? else { return Ok(None) };
    let envelope = Envelope::parse(&found.text)
        .map_err(|source| Error::Document { name: format!("the value of {key}"), source })?;
    Ok(Some((found.revision, envelope.document)))
}

fn unchanged_output(key: &str, version: u64) -> Output {
    let text = format!("{key} already holds this document as version {version}\n");
    let json = json!({ "key": key, "version": version, "changed": false });
    Output { text, json, succeeded: true }
}

fn promoted_output(key: &str, version: u64, write_id: &str, difference: Option<&Diff>) -> Output {
    let changes = difference.map_or_else(|| "first document\n".to_owned(), describe);
    let text = format!("{changes}\naccepted as version {version} of {key}, write ID {write_id}\n");
    let json = json!({
        "key": key, "version": version, "changed": true, "write_id": write_id, "diff": difference,
    });
    Output { text, json, succeeded: true }
}

fn load(path: &Path) -> Result<Document> {
    let text = read_file(path)?;
    check::parse(&text)
        .map_err(|source| Error::Document { name: path.display().to_string(), source })
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}
