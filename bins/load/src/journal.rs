//! Journals of the targets, and the comparison of journals with answers.

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

/// Violations that the findings describe in words; further ones are only counted.
const MAX_DETAILS: usize = 20;

/// One executed request of a target's journal.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Entry {
    /// Number within the journal.
    pub n: u64,
    /// Request id.
    #[serde(default)]
    pub request_id: Option<String>,
    /// Idempotency key.
    #[serde(default)]
    pub idempotency_key: Option<String>,
    /// Key.
    #[serde(default)]
    pub key: Option<String>,
    /// Fencing token, as text.
    #[serde(default)]
    pub token: Option<String>,
    /// Start in milliseconds on the boot-time clock.
    #[serde(default)]
    pub started_ms: u64,
    /// End in milliseconds on the boot-time clock, if the request has ended.
    #[serde(default)]
    pub ended_ms: Option<u64>,
    /// True if the request ran to its end.
    #[serde(default)]
    pub completed: bool,
}

/// The journal of one incarnation of a target.
#[derive(Clone, Debug)]
pub struct Journal {
    /// The target.
    pub target: Target,
    /// Entries by number.
    pub entries: BTreeMap<u64, Entry>,
    /// True if the last reading was taken after the end of the load.
    pub complete: bool,
}

/// The journals that were read, by `target/incarnation`.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// Journals that were read at least once.
    pub read: BTreeMap<String, Journal>,
    /// Targets that could not be read at the last reading.
    pub unreadable: BTreeSet<String>,
}

impl Journals {
    /// Reads the journals of all targets. `last` marks the reading after the end of the load.
    pub async fn collect(&mut self, targets: &[Target], last: bool) {
        for target in targets {
            match read(target).await {
                Ok((source, entries)) => {
                    let journal = self.read.entry(source).or_insert_with(|| Journal {
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

    /// Reads the journals from a thread without a runtime.
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

/// Result of the comparison.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    /// Executions of this run in all journals.
    pub executions: u64,
    /// Incarnations whose journal was read after the end of the load.
    pub journals_read: usize,
    /// Incarnations that answered or were read before, and whose journal is lost after that.
    pub journals_lost: Vec<String>,
    /// Idempotency keys that were executed more than once.
    pub doubled: u64,
    /// Submissions told "refused" that a journal has as executed.
    pub refused_but_ran: u64,
    /// Answered requests that should be in a journal that was read, and are not.
    pub answered_not_found: u64,
    /// Answered requests that could not be checked because a journal is lost.
    pub answered_unchecked: u64,
    /// Executions that show a token or a target older than that of an earlier execution of their key.
    pub ownership: u64,
    /// Executions of keyed services without a token, which cannot be checked.
    pub without_token: u64,
    /// Executions that started while an earlier owner of their key was still running a request.
    pub overlapping_runs: u64,
    /// Descriptions of the first violations.
    pub details: Vec<String>,
}

impl Findings {
    /// Returns the number of violations.
    pub fn violations(&self) -> u64 {
        self.doubled + self.refused_but_ran + self.answered_not_found + self.ownership
    }

    fn note(&mut self, text: String) {
        if self.details.len() < MAX_DETAILS {
            self.details.push(text);
        }
    }
}

/// Compares the journals with what the callers were told.
pub fn compare(profile: &Profile, record: &Record, journals: &Journals) -> Findings {
    let mut findings = Findings {
        journals_read: journals.read.values().filter(|journal| journal.complete).count(),
        journals_lost: lost(record, journals),
        ..Findings::default()
    };
    let index = Index::new(profile, journals);
    findings.executions = index.executions;
    check_doubled(&mut findings, &index);
    for sample in &record.samples {
        check_sample(&mut findings, profile, record, journals, &index, sample);
    }
    check_ownership(&mut findings, profile, journals);
    findings
}

/// Executions of a run by request id and by idempotency key.
struct Index<'a> {
    executions: u64,
    by_id: HashMap<(u64, u8), Vec<&'a str>>,
    by_order: BTreeMap<&'a str, Vec<&'a str>>,
}

impl<'a> Index<'a> {
    fn new(profile: &Profile, journals: &'a Journals) -> Self {
        let mut index = Self { executions: 0, by_id: HashMap::new(), by_order: BTreeMap::new() };
        let prefix = format!("{}-order-", profile.run);
        for (source, journal) in &journals.read {
            for entry in journal.entries.values() {
                let id = entry.request_id.as_deref().and_then(|id| parse_id(&profile.run, id));
                let Some(id) = id else { continue };
                index.executions += 1;
                index.by_id.entry(id).or_default().push(source);
                if let Some(order) = entry.idempotency_key.as_deref()
                    && order.starts_with(&prefix)
                {
                    index.by_order.entry(order).or_default().push(source);
                }
            }
        }
        index
    }
}

fn lost(record: &Record, journals: &Journals) -> Vec<String> {
    let complete = |source: &String| journals.read.get(source).is_some_and(|one| one.complete);
    let seen = record.incarnations.iter().chain(journals.read.keys());
    let incarnations = seen.filter(|source| !complete(source)).cloned();
    incarnations
        .chain(journals.unreadable.iter().cloned())
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect()
}

fn check_doubled(findings: &mut Findings, index: &Index<'_>) {
    for (order, sources) in &index.by_order {
        if sources.len() > 1 {
            findings.doubled += 1;
            findings.note(format!("{order} was executed {} times: {sources:?}", sources.len()));
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
    let name = || request_id(&profile.run, sample.number, sample.submission);
    if sample.verdict.not_run()
        && let Some(sources) = executions
    {
        findings.refused_but_ran += 1;
        findings.note(format!(
            "{} was told {} but ran: {sources:?}",
            name(),
            sample.verdict.name()
        ));
    }
    if !sample.verdict.answered() {
        return;
    }
    let order = idempotency_key(&profile.run, sample.number);
    if executions.is_some() || index.by_order.contains_key(order.as_str()) {
        return;
    }
    let source = sample
        .incarnation
        .and_then(|source| record.incarnations.get(usize::try_from(source).ok()?));
    let readable = match source {
        Some(source) => journals.read.get(source).is_some_and(|journal| journal.complete),
        None => findings.journals_lost.is_empty(),
    };
    if readable {
        findings.answered_not_found += 1;
        findings.note(format!("{} was answered by {source:?} but is in no journal", name()));
    } else {
        findings.answered_unchecked += 1;
    }
}

/// One execution of a key, in the order in which executions started.
struct Step<'a> {
    started_ms: u64,
    ended_ms: Option<u64>,
    token: Token,
    source: &'a str,
    id: &'a str,
}

fn check_ownership(findings: &mut Findings, profile: &Profile, journals: &Journals) {
    let mut keys: BTreeMap<(&str, &str), Vec<Step<'_>>> = BTreeMap::new();
    for (source, journal) in journals.read.iter().filter(|(_, journal)| journal.target.keyed) {
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
            keys.entry((journal.target.service.as_str(), key)).or_default().push(Step {
                started_ms,
                ended_ms,
                token,
                source,
                id,
            });
        }
    }
    for ((service, key), mut steps) in keys {
        steps.sort_by_key(|step| (step.started_ms, step.token));
        check_key(findings, &format!("{service}/{key}"), &steps);
    }
}

/// Checks that tokens of a key never go back between targets and that one token names one target.
///
/// Executions of one target may start out of order of their tokens, because requests wait in the
/// target's queue; the target itself decides whether a token still allows them. Times have a
/// resolution of 1 ms, so executions that start within the same millisecond are taken in token order.
fn check_key(findings: &mut Findings, key: &str, steps: &[Step<'_>]) {
    let mut owners: BTreeMap<Token, &str> = BTreeMap::new();
    let mut highest: Option<&Step<'_>> = None;
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for step in steps {
        let owner = *owners.entry(step.token).or_insert(step.source);
        let back = highest.is_some_and(|top| top.source != step.source && step.token < top.token);
        if owner != step.source || back {
            findings.ownership += 1;
            let token = step.token;
            findings.note(format!(
                "{key}: {} ran {} under {token}, owner {owner}",
                step.source, step.id
            ));
        }
        let still =
            runs.iter().any(|(source, end)| *source != step.source && *end > step.started_ms);
        findings.overlapping_runs += u64::from(still);
        let end = runs.entry(step.source).or_insert(0);
        *end = (*end).max(step.ended_ms.unwrap_or(u64::MAX));
        if highest.is_none_or(|top| step.token >= top.token) {
            highest = Some(step);
        }
    }
}
