//! Shard moves under load: the placement rule of each keyed group, fed with the lane's own counts.

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

/// Returns the rule of a group.
///
/// Keys are not split: a target cannot be told yet that it lost one key of a shard that it keeps.
pub fn rule() -> Rule {
    Rule::new(rule::Options { max_splits: 0, ..rule::Options::default() })
}

impl Control {
    /// Ends a window of every keyed group and starts the moves that the rule wants.
    pub(super) fn balance(&mut self, now: Stamp) {
        let mut moves = Vec::new();
        for (group, row) in &mut self.coordinated {
            if row.group.service.division != Division::Keyed {
                continue;
            }
            let window = window(row);
            let loads = window.targets.iter().map(|target| {
                let owned = window.shards.iter().filter(|shard| shard.owner == target.name);
                owned.map(|shard| shard.rate).sum::<f64>()
            });
            row.target_rates = loads.collect();
            for action in row.rule.decide(&window, now) {
                if let Action::Move(shard, to) = action {
                    moves.push((group.clone(), shard, to));
                }
            }
        }
        for (group, shard, to) in moves {
            self.step(&group, Event::Move { shard, to }, now);
        }
        self.measure_imbalance();
    }

    /// Publishes max/mean of the rates of the targets that this instance coordinates, for each service.
    fn measure_imbalance(&self) {
        let mut services: Vec<&name::Service> =
            self.coordinated.values().map(|row| &row.group.service.name).collect();
        services.sort();
        services.dedup();
        for service in services {
            let rates: Vec<f64> = self
                .coordinated
                .values()
                .filter(|row| row.group.service.name == *service)
                .flat_map(|row| row.target_rates.iter().copied())
                .collect();
            let total: f64 = rates.iter().sum();
            let highest = rates.iter().copied().fold(0.0, f64::max);
            if total > 0.0 {
                let count = u32::try_from(rates.len()).map_or(1.0, f64::from);
                self.parts.metrics.set_imbalance(service, highest * count / total);
            }
        }
    }
}

fn window(row: &Coordination) -> Window {
    let report = row.lane.take_counts();
    let seconds = report.elapsed.as_secs_f64().max(0.001);
    let rate = |requests: u64| u32::try_from(requests).map_or(f64::MAX, f64::from) / seconds;
    let shards = report.shards.into_iter().filter_map(|count| {
        Some(Assignment {
            shard: count.shard,
            owner: count.owner?,
            rate: rate(count.requests),
            heavy: count
                .heavy
                .into_iter()
                .map(|entry| Key { key: entry.key, rate: rate(entry.requests) })
                .collect(),
        })
    });
    let open = |target: &name::Target| {
        matches!(row.health().get(target), Some(Health::Granted(State::Live | State::Cold)))
    };
    let targets = row.group.targets.iter().map(|target| Target {
        name: target.name.clone(),
        capacity: f64::from(row.group.service.slots),
        accepting: open(&target.name),
    });
    Window {
        elapsed: report.elapsed,
        targets: targets.collect(),
        shards: shards.collect(),
        splits: Vec::new(),
    }
}
