//! Load balancing: applies the placement rule to each keyed group, with the request counts of its
//! admission controller as input.

use caraway_balance::rule;
use caraway_balance::rule::Rule;
use caraway_balance::window::Action;
use caraway_balance::window::Assignment;
use caraway_balance::window::Key;
use caraway_balance::window::Policy;
use caraway_balance::window::Target;
use caraway_balance::window::Window;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_document::plan::Division;
use caraway_ownership::event::Event;
use caraway_ownership::event::Health;
use caraway_ownership::grant::State;

use crate::coordination::Coordination;

use super::Control;

/// Returns the placement rule of a group.
///
/// Splits are disabled: the control protocol of targets cannot revoke a single key of a shard.
pub fn rule() -> Rule {
    Rule::new(rule::Options { max_splits: 0, ..rule::Options::default() })
}

impl Control {
    /// Closes the measurement window of every keyed group and starts the moves that its rule
    /// decides on.
    pub(super) fn balance(&mut self, now: Stamp) {
        let mut moves = Vec::new();
        for (group, coordination) in &mut self.coordinated {
            if coordination.group.service.division != Division::Keyed {
                continue;
            }
            let window = window(coordination);
            let target_rates = window.targets.iter().map(|target| {
                let owned = window.shards.iter().filter(|shard| shard.owner == target.name);
                owned.map(|shard| shard.rate).sum::<f64>()
            });
            coordination.target_rates = target_rates.collect();
            for action in coordination.rule.decide(&window, now) {
                if let Action::Move(shard, to) = action {
                    moves.push((group.clone(), shard, to));
                }
            }
        }
        for (group, shard, to) in moves {
            self.step(&group, Event::Move { shard, to }, now);
        }
        self.update_imbalance();
    }

    /// Updates the imbalance metric of each service: the maximum over the mean of the request rates
    /// of the targets that this instance coordinates.
    fn update_imbalance(&self) {
        let mut services: Vec<&name::Service> = self
            .coordinated
            .values()
            .map(|coordination| &coordination.group.service.name)
            .collect();
        services.sort();
        services.dedup();
        for service in services {
            let rates: Vec<f64> = self
                .coordinated
                .values()
                .filter(|coordination| coordination.group.service.name == *service)
                .flat_map(|coordination| coordination.target_rates.iter().copied())
                .collect();
            let total: f64 = rates.iter().sum();
            let maximum = rates.iter().copied().fold(0.0, f64::max);
            if total > 0.0 {
                let count = u32::try_from(rates.len()).map_or(1.0, f64::from);
                self.context.metrics.set_imbalance(service, maximum * count / total);
            }
        }
    }
}

fn window(coordination: &Coordination) -> Window {
    let counts = coordination.admission.take_counts();
    let seconds = counts.elapsed.as_secs_f64().max(0.001);
    let per_second = |requests: u64| u32::try_from(requests).map_or(f64::MAX, f64::from) / seconds;
    let shards = counts.shards.into_iter().filter_map(|count| {
        Some(Assignment {
            shard: count.shard,
            owner: count.owner?,
            rate: per_second(count.requests),
            heavy: count
                .heavy
                .into_iter()
                .map(|entry| Key { key: entry.key, rate: per_second(entry.requests) })
                .collect(),
        })
    });
    let is_accepting = |target: &name::Target| {
        matches!(
            coordination.health().get(target),
            Some(Health::Granted(State::Live | State::Cold))
        )
    };
    let targets = coordination.group.targets.iter().map(|target| Target {
        name: target.name.clone(),
        capacity: f64::from(coordination.group.service.slots),
        accepting: is_accepting(&target.name),
    });
    Window {
        elapsed: counts.elapsed,
        targets: targets.collect(),
        shards: shards.collect(),
        splits: Vec::new(),
    }
}
