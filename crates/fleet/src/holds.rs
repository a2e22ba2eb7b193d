//! Expiries of grants: until when each incarnation of a target may hold keys.
//!
//! A target holds its keys until the latest expiry of all grants that it accepted. A shorter grant
//! under a higher token does not end a longer one under a lower token, so an end is only ever
//! raised. Only the proof that an incarnation has ended, or the announcement of the coordinator
//! that sent the grants, replaces an end that was assumed.

use std::collections::HashMap;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::membership::Incarnation;

/// Latest expiry of the grants of each incarnation, under any token of any term.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    /// Ends of grants of earlier coordinators.
    inherited: HashMap<Incarnation, Stamp>,
    /// Ends of grants of this term. They are kept apart because [`Holds::limit`] may be called
    /// after the first grants of the term and must not lower their ends.
    granted: HashMap<Incarnation, Stamp>,
}

impl Holds {
    /// Returns the holds at the start of a term, in which each of the incarnations may hold keys
    /// under grants of earlier coordinators until `end`.
    pub fn inherited(incarnations: impl IntoIterator<Item = Incarnation>, end: Stamp) -> Self {
        let inherited = incarnations.into_iter().map(|incarnation| (incarnation, end)).collect();
        Self { inherited, granted: HashMap::new() }
    }

    /// Records that an incarnation may hold keys until `end` under a grant of this term. An earlier
    /// end has no effect.
    pub fn raise(&mut self, incarnation: &Incarnation, end: Stamp) {
        let known = self.granted.entry(incarnation.clone()).or_insert(end);
        *known = end.max(*known);
    }

    /// Records proof that an incarnation has ended and holds no keys.
    pub fn end(&mut self, incarnation: &Incarnation) {
        self.inherited.remove(incarnation);
        self.granted.remove(incarnation);
    }

    /// Limits the ends of inherited grants to those announced by the only coordinator that can have
    /// sent grants since the tables were last written. Incarnations without an announced end hold
    /// no keys of earlier coordinators.
    pub fn limit(&mut self, announced: &HashMap<Incarnation, Stamp>) {
        self.inherited.retain(|incarnation, end| match announced.get(incarnation) {
            Some(limit) => {
                *end = (*limit).min(*end);
                true
            }
            None => false,
        });
    }

    /// Returns whether an incarnation may still hold keys.
    pub fn may_hold(&self, incarnation: &Incarnation, now: Stamp) -> bool {
        self.last_end(incarnation).is_some_and(|end| now <= end)
    }

    /// Returns the time until which an incarnation may hold keys, if that is known.
    pub fn last_end(&self, incarnation: &Incarnation) -> Option<Stamp> {
        let inherited = self.inherited.get(incarnation).copied();
        inherited.max(self.granted.get(incarnation).copied())
    }

    /// Returns the incarnations that may hold keys, with the ends.
    pub fn ends(&self) -> HashMap<Incarnation, Stamp> {
        let mut ends = self.inherited.clone();
        for (incarnation, end) in &self.granted {
            let known = ends.entry(incarnation.clone()).or_insert(*end);
            *known = (*end).max(*known);
        }
        ends
    }

    /// Returns how many incarnations may hold keys under grants of earlier coordinators, and the
    /// longest remaining time.
    pub fn remaining_inherited(&self, now: Stamp) -> (usize, Duration) {
        let unexpired = self.inherited.values().filter(|end| **end > now);
        let longest = unexpired.clone().max().map_or(Duration::ZERO, |end| end.since(now));
        (unexpired.count(), longest)
    }

    /// Removes ends that have passed.
    pub fn remove_expired(&mut self, now: Stamp) {
        self.inherited.retain(|_, end| now <= *end);
        self.granted.retain(|_, end| now <= *end);
    }
}
