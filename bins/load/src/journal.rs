//! Execution journals of the targets, and the comparison of the callers' samples with them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::errors::Result;
use crate::profile::Profile;
use crate::profile::Target;
use crate::request::idempotency_key;
use crate::request::parse_id;
use crate::request::request_id;
use crate::sample::Record;
use crate::sample::Sample;
use caraway_core::token::Token;

/// Maximum number of described violations; further ones are only counted.
const MAX_DETAILS: usize = 20;

/// One execution in a target's journal.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Entry {
    /// Number of the execution within the journal.
    pub n: u64,
    /// Request id of the submission.
    #[serde(default)]
    pub request_id: Option<String>,
    /// Idempotency key of the request.
    #[serde(default)]
    pub idempotency_key: Option<String>,
    /// Key of the request.
    #[serde(default)]
    pub key: Option<String>,
    /// Fencing token in text form.
    #[serde(default)]
    pub token: Option<String>,
    /// Start of the execution in milliseconds on the boot-time clock.
    #[serde(default)]
    pub started_ms: u64,
    /// End of the execution in milliseconds on the boot-time clock; absent while it runs.
    #[serde(default)]
    pub ended_ms: Option<u64>,
    /// True if the request ran to completion.
    #[serde(default)]
    pub completed: bool,
}

/// The journal of one incarnation of a target.
#[derive(Clone, Debug)]
pub struct Journal {
    /// Target that keeps the journal.
    pub target: Target,
    /// Entries by their number in the journal.
    pub entries: BTreeMap<u64, Entry>,
    /// True if the journal was last read after the end of the load.
    pub complete: bool,
}

/// The journals of a run by `target/incarnation`.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// Journals that were read successfully at least once.
    pub read: BTreeMap<String, Journal>,
    /// Targets with a failed read.
    pub unreadable: BTreeSet<String>,
}

impl Journals {
    /// Reads the journals of all targets. `last` is true for the read after the end of the load.
    pub async fn collect(&mut self, targets: &[Target], last: bool) {
        for target in targets {
            match read(target).await {
                Ok((incarnation, entries)) => {
                    let journal = self.read.entry(incarnation).or_insert_with(|| Journal {
                        target: target.clone(),
                        entries: BTreeMap::new(),
                        complete: false,
                    });
                    journal.entries.extend(entries.into_iter().map(|entry| (entry.n, entry)));
                    journal.complete |= last;
                }
                Err(_) => {
                    self.unreadable.insert(target.name.clone());
                }
            }
        }
    }

    /// Reads the journals as [`Journals::collect`] does, blocking the current thread.
    pub fn collect_blocking(&mut self, targets: &[Target], last: bool) -> Result<()> {
        control::block_on(async {
            self.collect(targets, last).await;
            Ok(())
        })
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Incarnation {
    Text(String),
    Number(u64),
}

#[derive(Deserialize)]
struct Status {
    incarnation: Incarnation,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Page {
    Plain(Vec<Entry>),
    Wrapped { entries: Vec<Entry> },
}

async fn read(target: &Target) -> Result<(String, Vec<Entry>)> {
    let status = control::get(target.address, "/control/status").await?;
    let incarnation = match serde_json::from_slice::<Status>(&status)?.incarnation {
        Incarnation::Text(text) => text,
        Incarnation::Number(number) => number.to_string(),
    };
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let after = entries.last().map_or(0, |entry| entry.n);
        let path = format!("/control/journal?after={after}");
        let body = control::get(target.address, &path).await?;
        let page = match serde_json::from_slice(&body)? {
            Page::Plain(entries) | Page::Wrapped { entries } => entries,
        };
        if page.last().is_none_or(|entry| entry.n <= after) {
            return Ok((format!("{}/{incarnation}", target.name), entries));
        }
        entries.extend(page);
    }
}

/// Result of the comparison of samples and journals.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    /// Executions of the run in all journals.
    pub executions: u64,
    /// Number of incarnations whose journal was read after the end of the load.
    pub journals_read: usize,
    /// Incarnations that answered or were read earlier, but whose final journal is not available.
    pub journals_lost: Vec<String>,
    /// Number of idempotency keys that were executed more than once.
    pub doubled: u64,
    /// Submissions that were refused, although a journal contains their execution.
    pub refused_but_ran: u64,
    /// Answered requests that are missing from the complete journal of their target.
    pub answered_not_found: u64,
    /// Answered requests that could not be checked because a journal was lost.
    pub answered_unchecked: u64,
    /// Executions under a stale token, or under a token that another target used for the same key.
    pub ownership: u64,
    /// Executions of keyed services without a token, whose ownership cannot be checked.
    pub without_token: u64,
    /// Executions that started while another target was still running a request for the same key.
    pub overlapping_runs: u64,
    /// Descriptions of the first violations.
    pub details: Vec<String>,
}

impl Findings {
    /// Returns the number of violations.
    pub fn violations(&self) -> u64 {
        self.doubled + self.refused_but_ran + self.answered_not_found + self.ownership
    }

    fn add_detail(&mut self, text: String) {
        if self.details.len() < MAX_DETAILS {
            self.details.push(text);
        }
    }
}

/// Compares the journals with the callers' samples.
pub fn compare(profile: &Profile, record: &Record, journals: &Journals) -> Findings {
    let mut findings = Findings {
        journals_read: journals.read.values().filter(|journal| journal.complete).count(),
        journals_lost: lost_incarnations(record, journals),
        ..Findings::default()
    };
    let index = Index::new(profile, journals);
    findings.executions = index.executions;
    check_duplicates(&mut findings, &index);
    for sample in &record.samples {
        check_sample(&mut findings, profile, record, journals, &index, sample);
    }
    check_ownership(&mut findings, profile, journals);
    findings
}

/// Incarnations that executed requests of a run, by request id and by idempotency key.
struct Index<'a> {
    executions: u64,
    by_id: HashMap<(u64, u8), Vec<&'a str>>,
    by_idempotency_key: BTreeMap<&'a str, Vec<&'a str>>,
}

impl<'a> Index<'a> {
    fn new(profile: &Profile, journals: &'a Journals) -> Self {
        let mut index =
            Self { executions: 0, by_id: HashMap::new(), by_idempotency_key: BTreeMap::new() };
        let prefix = format!("{}-order-", profile.run);
        for (incarnation, journal) in &journals.read {
            for entry in journal.entries.values() {
                let id = entry.request_id.as_deref().and_then(|id| parse_id(&profile.run, id));
                let Some(id) = id else { continue };
                index.executions += 1;
                index.by_id.entry(id).or_default().push(incarnation);
                if let Some(key) = entry.idempotency_key.as_deref()
                    && key.starts_with(&prefix)
                {
                    index.by_idempotency_key.entry(key).or_default().push(incarnation);
                }
            }
        }
        index
    }
}

fn lost_incarnations(record: &Record, journals: &Journals) -> Vec<String> {
    let complete = |name: &String| journals.read.get(name).is_some_and(|journal| journal.complete);
    let known = record.incarnations.iter().chain(journals.read.keys());
    let incarnations = known.filter(|incarnation| !complete(incarnation)).cloned();
    incarnations
        .chain(journals.unreadable.iter().cloned())
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect()
}

fn check_duplicates(findings: &mut Findings, index: &Index<'_>) {
    for (key, incarnations) in &index.by_idempotency_key {
        if incarnations.len() > 1 {
            findings.doubled += 1;
            findings.add_detail(format!(
                "{key} was executed {} times: {incarnations:?}",
                incarnations.len()
            ));
        }
    }
}

fn check_sample(
    findings: &mut Findings,
    profile: &Profile,
    record: &Record,
    journals: &Journals,
    index: &Index<'_>,
    sample: &Sample,
) {
    let executions = index.by_id.get(&(sample.number, sample.submission));
    let id = || request_id(&profile.run, sample.number, sample.submission);
    if sample.verdict.not_run()
        && let Some(incarnations) = executions
    {
        findings.refused_but_ran += 1;
        findings.add_detail(format!(
            "{} was reported as {} but ran: {incarnations:?}",
            id(),
            sample.verdict.name()
        ));
    }
    if !sample.verdict.answered() {
        return;
    }
    let key = idempotency_key(&profile.run, sample.number);
    if executions.is_some() || index.by_idempotency_key.contains_key(key.as_str()) {
        return;
    }
    let incarnation = sample
        .incarnation
        .and_then(|incarnation| record.incarnations.get(usize::try_from(incarnation).ok()?));
    let readable = match incarnation {
        Some(incarnation) => journals.read.get(incarnation).is_some_and(|journal| journal.complete),
        None => findings.journals_lost.is_empty(),
    };
    if readable {
        findings.answered_not_found += 1;
        findings
            .add_detail(format!("{} was answered by {incarnation:?} but is in no journal", id()));
    } else {
        findings.answered_unchecked += 1;
    }
}

/// One execution for a key.
struct Execution<'a> {
    started_ms: u64,
    ended_ms: Option<u64>,
    token: Token,
    incarnation: &'a str,
    id: &'a str,
}

fn check_ownership(findings: &mut Findings, profile: &Profile, journals: &Journals) {
    let mut keys: BTreeMap<(&str, &str), Vec<Execution<'_>>> = BTreeMap::new();
    for (incarnation, journal) in journals.read.iter().filter(|(_, journal)| journal.target.keyed) {
        for entry in journal.entries.values() {
            let id = entry.request_id.as_deref().unwrap_or("");
            let Some(key) = entry.key.as_deref() else { continue };
            if parse_id(&profile.run, id).is_none() {
                continue;
            }
            let Some(token) = entry.token.as_deref().and_then(|text| text.parse().ok()) else {
                findings.without_token += 1;
                continue;
            };
            let (started_ms, ended_ms) = (entry.started_ms, entry.ended_ms);
            keys.entry((journal.target.service.as_str(), key)).or_default().push(Execution {
                started_ms,
                ended_ms,
                token,
                incarnation,
                id,
            });
        }
    }
    for ((service, key), mut executions) in keys {
        executions.sort_by_key(|execution| (execution.started_ms, execution.token));
        check_key(findings, &format!("{service}/{key}"), &executions);
    }
}

/// Checks that the tokens of a key never decrease from one target to another and that each token belongs to
/// one target.
///
/// The executions of a single target may start out of token order, because requests wait in its queue; the
/// target itself decides whether a token is still valid. Times have a resolution of 1 ms, so executions
/// that start within the same millisecond are ordered by token.
fn check_key(findings: &mut Findings, key: &str, executions: &[Execution<'_>]) {
    let mut owners: BTreeMap<Token, &str> = BTreeMap::new();
    let mut highest: Option<&Execution<'_>> = None;
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    for run in executions {
        let owner = *owners.entry(run.token).or_insert(run.incarnation);
        let regressed =
            highest.is_some_and(|top| top.incarnation != run.incarnation && run.token < top.token);
        if owner != run.incarnation || regressed {
            findings.ownership += 1;
            let token = run.token;
            findings.add_detail(format!(
                "{key}: {} ran {} under {token}, owner {owner}",
                run.incarnation, run.id
            ));
        }
        let overlaps =
            ends.iter().any(|(name, end)| *name != run.incarnation && *end > run.started_ms);
        findings.overlapping_runs += u64::from(overlaps);
        let end = ends.entry(run.incarnation).or_insert(0);
        *end = (*end).max(run.ended_ms.unwrap_or(u64::MAX));
        if highest.is_none_or(|top| run.token >= top.token) {
            highest = Some(run);
        }
    }
}
