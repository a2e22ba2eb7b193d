//! Calls of a group machine to its targets: queries, grants and renewals.

use std::collections::BTreeSet;

use caraway_core::time::Stamp;
use caraway_core::token::Token;

use crate::event::Effect;
use crate::grant;
use crate::table::Sent;
use crate::table::Stage;

use super::Machine;

impl Machine {
    /// Sends the queries, changed grants and renewals that are due.
    pub(super) fn send_due_calls(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        if self.suspended_since.is_some() {
            return;
        }
        for index in 0..self.targets.len() {
            let shards = self.shards_to_grant(index);
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
            let changed = row.last_sent.as_ref().is_none_or(|sent| sent.shards != shards);
            let acknowledged = row.last_sent.as_ref().is_some_and(|sent| sent.seq == row.acked_seq);
            if !changed && now < row.next_call {
                continue;
            }
            let renewal = !changed && acknowledged;
            if changed {
                self.seq += 1;
                row.may_own.extend(&shards);
                row.last_sent = Some(Sent { seq: self.seq, shards: shards.clone() });
            }
            row.next_call =
                now + if renewal { grant::RENEWAL_INTERVAL } else { grant::RETRY_DELAY };
            let seq = row.last_sent.as_ref().map_or(0, |sent| sent.seq);
            effects.push(Effect::Grant {
                target: row.name.clone(),
                token: Token::new(self.term, seq),
                incarnation: contact.incarnation,
                valid_until_ms: contact.valid_until_ms(),
                shards: (!renewal).then(|| shards.clone()),
            });
            if changed {
                self.set_grant_seq(index, seq);
            }
        }
    }

    fn set_grant_seq(&mut self, index: usize, seq: u64) {
        for (_, row) in self.shards.iter_mut() {
            if row.owner == Some(index) && row.stage == Stage::Granting {
                row.seq = seq;
            }
        }
    }

    /// Returns the shards that the grant of a target should include now.
    fn shards_to_grant(&self, index: usize) -> BTreeSet<u32> {
        if self.pooled {
            return self.shards.iter().map(|(shard, _)| shard.0).collect();
        }
        self.shards
            .iter()
            .filter(|(_, row)| row.owner == Some(index) && row.stage.is_granted())
            .map(|(shard, _)| shard.0)
            .filter(|shard| !self.may_be_owned_elsewhere(index, *shard))
            .collect()
    }

    fn may_be_owned_elsewhere(&self, index: usize, shard: u32) -> bool {
        let others = self.targets.iter().enumerate().filter(|(other, _)| *other != index);
        others.into_iter().any(|(_, row)| row.may_own.contains(&shard))
    }
}
