//! The grants that a group machine sends: what a target is told, and when.

use std::collections::BTreeSet;

use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::event::Effect;
use crate::grant;
use crate::table::Sent;
use crate::table::Stage;

use super::Machine;

impl Machine {
    /// Sends queries, changed grants and renewals that are due.
    pub(super) fn call(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        if self.held_since.is_some() {
            return;
        }
        for index in 0..self.targets.len() {
            let set = self.granted_set(index);
            let Some(row) = self.targets.get_mut(index) else { continue };
            let Some(contact) = row.contact else {
                if now >= row.next_call {
                    row.next_call = now + grant::RETRY_DELAY;
                    effects.push(Effect::Query(row.name.clone()));
                }
                continue;
            };
            if row.unconfirmed_since.is_some() {
                continue;
            }
            let changed = row.sent.as_ref().is_none_or(|sent| sent.set != set);
            let acknowledged = row.sent.as_ref().is_some_and(|sent| sent.seq == row.acked);
            if !changed && now < row.next_call {
                continue;
            }
            let renewal = !changed && acknowledged;
            if changed {
                self.seq += 1;
                row.maybe.extend(&set);
                row.sent = Some(Sent { seq: self.seq, set: set.clone() });
            }
            row.next_call =
                now + if renewal { grant::RENEWAL_INTERVAL } else { grant::RETRY_DELAY };
            let seq = row.sent.as_ref().map_or(0, |sent| sent.seq);
            effects.push(Effect::Grant {
                target: row.name.clone(),
                token: Token::new(self.term, seq),
                incarnation: contact.incarnation,
                valid_until_ms: contact.valid_until_ms(),
                shards: (!renewal).then(|| set.clone()),
            });
            if changed {
                self.stamp_shards(index, seq);
            }
        }
    }

    fn stamp_shards(&mut self, index: usize, seq: u64) {
        for (_, row) in self.shards.iter_mut() {
            if row.owner == Some(index) && row.stage == Stage::Granting {
                row.seq = seq;
            }
        }
    }

    /// Returns the shards that a target's grant should carry now.
    fn granted_set(&self, index: usize) -> BTreeSet<u32> {
        if self.pooled {
            return self.shards.iter().map(|(shard, _)| shard.0).collect();
        }
        self.shards
            .iter()
            .filter(|(_, row)| row.owner == Some(index) && row.stage.is_granted())
            .map(|(shard, _)| shard.0)
            .filter(|shard| !self.held_elsewhere(index, *shard))
            .collect()
    }

    fn held_elsewhere(&self, index: usize, shard: u32) -> bool {
        let others = self.targets.iter().enumerate().filter(|(other, _)| *other != index);
        others.into_iter().any(|(_, row)| row.maybe.contains(&shard))
    }
}
