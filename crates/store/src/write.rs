//! Changes of the domain record by compare-and-swap.
//!
//! A write whose answer is lost may have taken effect, may never take effect, or may take effect
//! later. The writer reads the record back and decides:
//!
//! - The record has a write ID of this change: the change took effect.
//! - The record has another revision than expected: the write can no longer take effect, because it
//!   requires the expected revision. The change is applied to the current record again.
//! - The record still has the expected revision: the write may yet take effect. The same change is
//!   sent again with a new write ID; as soon as either write takes effect, the other one cannot.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::errors::Error;
use crate::errors::Result;
use crate::record::Domain;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;

/// What a closure did with the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The record was changed and is to be written.
    Changed,
    /// The record already is as intended, or no longer allows the change.
    Unchanged,
}

/// The record at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Current {
    /// Revision of the record, 0 if it is absent.
    pub revision: u64,
    /// The record.
    pub domain: Domain,
}

/// Result of a change.
#[derive(Debug)]
pub enum Outcome {
    /// The change took effect.
    Written {
        /// Revision at which the change was seen in effect.
        revision: u64,
    },
    /// The closure made no change to the first record that was read.
    Unchanged {
        /// The record.
        current: Current,
    },
    /// Other writers came first, and the closure made no change to their record, or too many
    /// conflicts followed each other. No write of this change takes effect later. If an answer was
    /// lost, an earlier version of `current` may have contained the change, so that the caller
    /// decides by what `current` says.
    Lost {
        /// The record.
        current: Current,
    },
    /// The store did not answer in time. The change may have taken effect or may still do so; the
    /// caller must not act on it until it has read the record.
    Unavailable {
        /// The last failure.
        cause: Error,
    },
}

/// Limits of a change.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time after which an unsettled change is unavailable. The call in progress is finished, so
    /// that a change may take longer by one call timeout.
    pub limit: Duration,
    /// Conflicts after which a change is lost.
    pub conflicts: u32,
    /// Pause after a failed call.
    pub pause: Duration,
}

impl Default for Options {
    /// Returns a limit of 5 s, 8 conflicts and a pause of 50 ms. All members of a domain write to
    /// the same record, so a few conflicts follow each other after a loss.
    fn default() -> Self {
        Self { limit: Duration::from_secs(5), conflicts: 8, pause: Duration::from_millis(50) }
    }
}

/// Writer of one domain record.
#[derive(Debug)]
pub struct Writer {
    client: Client,
    key: String,
    origin: String,
    options: Options,
    clock: Clock,
    writes: AtomicU64,
}

/// The progress of one change.
struct Progress {
    ids: Vec<String>,
    ends: Stamp,
    conflicts: u32,
    /// A write without an answer that may take effect while the record has this revision.
    unsettled: Option<Current>,
}

/// How one write ended.
enum Step {
    /// The change has a result.
    Done(Outcome),
    /// The record has to be read again.
    Again,
}

impl Writer {
    /// Makes a writer of the record at `key`. The origin identifies this process start, such as
    /// the instance and its incarnation; write IDs are unique only if no other writer has it.
    pub fn new(client: Client, key: &str, origin: &str, options: Options) -> Self {
        let (key, origin) = (key.to_owned(), origin.to_owned());
        Self { client, key, origin, options, clock: Clock, writes: AtomicU64::new(0) }
    }

    /// Reads the record. An absent record is empty.
    pub fn read(&self) -> Result<Current> {
        match self.client.get(&self.key)? {
            None => Ok(Current { revision: 0, domain: Domain::default() }),
            Some(entry) => {
                let domain = Domain::try_from_json(&entry.value)?;
                Ok(Current { revision: entry.revision, domain })
            }
        }
    }

    /// Changes the record and waits until the result is definite or the limit has passed.
    ///
    /// The closure may run several times, each time with the current record, and must return
    /// [`Change::Unchanged`] for a record that already contains the change. Fails if the stored
    /// record cannot be used or the store rejects the record, for example because of its size; no
    /// write of the change takes effect then.
    pub fn change(&self, apply: impl Fn(&mut Domain) -> Change) -> Result<Outcome> {
        let ends = self.clock.now() + self.options.limit;
        let mut progress = Progress { ids: Vec::new(), ends, conflicts: 0, unsettled: None };
        loop {
            let current = match self.read() {
                Ok(current) => current,
                Err(error) => match self.failed(&progress, error)? {
                    Step::Done(outcome) => return Ok(outcome),
                    Step::Again => continue,
                },
            };
            if let Step::Done(outcome) = self.attempt(&mut progress, current, &apply)? {
                return Ok(outcome);
            }
        }
    }

    /// Writes the change once, unless the record that was read settles it.
    fn attempt(
        &self,
        progress: &mut Progress,
        current: Current,
        apply: &impl Fn(&mut Domain) -> Change,
    ) -> Result<Step> {
        let revision = current.revision;
        if progress.ids.contains(&current.domain.write_id) {
            return Ok(Step::Done(Outcome::Written { revision }));
        }
        let pending = progress.unsettled.take().filter(|pending| pending.revision == revision);
        let was_pending = pending.is_some();
        let mut next = match pending {
            Some(pending) => pending.domain,
            None => match self.apply(progress, current, apply) {
                Ok(next) => next,
                Err(outcome) => return Ok(Step::Done(outcome)),
            },
        };
        next.write_id = self.next_id();
        progress.ids.push(next.write_id.clone());
        match self.client.put(&self.key, &next.to_json()?, revision, None) {
            Ok(revision) => Ok(Step::Done(Outcome::Written { revision })),
            Err(Error::Conflict { .. }) => {
                progress.conflicts += 1;
                Ok(Step::Again)
            }
            Err(error) => {
                // A write that was not sent leaves an earlier one as unsettled as it was.
                if was_pending || matches!(error, Error::Unanswered(_)) {
                    progress.unsettled = Some(Current { revision, domain: next });
                }
                self.failed(progress, error)
            }
        }
    }

    /// Applies the change to the current record, or returns the outcome if there is nothing to
    /// write.
    fn apply(
        &self,
        progress: &Progress,
        current: Current,
        apply: &impl Fn(&mut Domain) -> Change,
    ) -> std::result::Result<Domain, Outcome> {
        if progress.conflicts >= self.options.conflicts {
            return Err(Outcome::Lost { current });
        }
        let mut next = current.domain.clone();
        match apply(&mut next) {
            Change::Changed => Ok(next),
            Change::Unchanged if progress.ids.is_empty() => Err(Outcome::Unchanged { current }),
            Change::Unchanged => Err(Outcome::Lost { current }),
        }
    }

    /// Decides whether to go on after a failed call. A change of which no write is unsettled ends
    /// at once, so that an outage is noticed early.
    fn failed(&self, progress: &Progress, error: Error) -> Result<Step> {
        match error {
            Error::Unanswered(_) | Error::Unreachable(_) => {}
            other if progress.unsettled.is_some() => {
                return Ok(Step::Done(Outcome::Unavailable { cause: other }));
            }
            other => return Err(other),
        }
        if progress.unsettled.is_none() || self.clock.now() >= progress.ends {
            return Ok(Step::Done(Outcome::Unavailable { cause: error }));
        }
        thread::sleep(self.options.pause);
        Ok(Step::Again)
    }

    fn next_id(&self) -> String {
        let n = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}/{n}", self.origin)
    }
}
