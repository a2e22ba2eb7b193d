//! Changes of ownership: planning, writing to the store, and publication to the instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caraway_adapter::store;
use caraway_adapter::store::Transaction;
use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_fleet::admission;
use caraway_fleet::balance;
use caraway_fleet::coordinator::Coordinator;
use caraway_fleet::coordinator::Tables;
use caraway_fleet::demand;
use caraway_fleet::era::Revision;
use caraway_fleet::evacuation;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Registry;
use caraway_fleet::ownership::Move;
use caraway_fleet::ownership::Table;
use caraway_fleet::plan;
use caraway_fleet::plan::Candidate;
use caraway_fleet::reports::Reports;
use caraway_fleet::view::Owners;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::leader::BALANCE_INTERVAL;
use crate::leader::Term;
use crate::leader::era::owners_key;
use crate::leader::era::read_current;
use crate::peers;
use crate::pool::Failure;
use crate::store::send;
use crate::sync::COORDINATOR_KEY;

/// Delay after a change of ownership before the tables are written without earlier owners. Most
/// have released their keys by then, so that one write covers all.
const SETTLE_DELAY: Duration = Duration::from_millis(1500);

/// Time after the start of a term in which targets can register before the keys of a service are
/// assigned for the first time.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(1500);

/// Service time of all targets until the first reports, in seconds. Its value is irrelevant, since
/// only the ratios of service times matter.
const DEFAULT_SERVICE_TIME: f64 = 0.1;

impl Term {
    /// Plans changes of ownership and writes them to the store.
    pub(super) async fn update_ownership(&mut self, now: Stamp) {
        let in_use = self.coordinator.grant_connections();
        // A channel in use by a call has a second reference.
        self.channels.retain(|id, channel| in_use.contains(id) || Rc::strong_count(channel) > 1);
        // Tables of this era would be taken for complete.
        if self.coordinator.is_recovering() {
            return;
        }
        if !self.fences_renewed {
            let tables = self.coordinator.with_renewed_fences();
            self.fences_renewed = tables.is_empty() || self.write(tables).await.is_some();
            return;
        }
        let moves = self.plan_moves(now);
        if moves.is_empty() {
            // Saves a successor from waiting for earlier owners that have released their keys.
            let tables = self.coordinator.tables();
            if tables != self.stored_tables && now.since(self.tables_written) > SETTLE_DELAY {
                self.write(tables).await;
            }
            return;
        }
        let proposed: Vec<(Arc<str>, Move)> = moves
            .iter()
            .map(|(service, key_move, _)| (service.clone(), key_move.clone()))
            .collect();
        let Some(revision) = self.write(self.coordinator.propose(&proposed)).await else { return };
        for (service, key_move, reason) in moves {
            self.state.metrics.holdings_moved.inc();
            emit(Event::KeysMoved {
                service: service.to_string(),
                first: key_move.first.into(),
                last: key_move.last.into(),
                to: key_move.to.id.to_string(),
                reason: reason.to_owned(),
                revision,
            });
        }
    }

    /// Writes and adopts tables; returns their revision, or `None` if the write failed.
    async fn write(&mut self, tables: Tables) -> Option<u64> {
        let owners_key = owners_key(self.number.era);
        let value = match serde_json::to_vec(&tables) {
            Ok(value) => value,
            Err(error) => {
                let (key, error) = (owners_key, error.to_string());
                emit(Event::RecordInvalid { key, error });
                return None;
            }
        };
        let conditions = vec![
            (COORDINATOR_KEY, self.number.number),
            (owners_key.as_str(), self.tables_revision.number),
        ];
        let puts = vec![(owners_key.as_str(), value.as_slice(), 0)];
        let transaction = Transaction { conditions, puts, removals: vec![] };
        let call = store::change(&transaction);
        let response = send(&self.state, &call, "change", Duration::ZERO).await;
        let change = match response {
            Ok((status, body)) => {
                store::parse_change(status, &body).map_err(|error| error.to_string())
            }
            Err(Failure::Unsent(error)) => Err(error.to_string()),
            Err(Failure::Sent(_)) => {
                let (key, write_id) = (owners_key, self.tables_revision.number.to_string());
                emit(Event::WriteAmbiguous { key, write_id });
                return None;
            }
        };
        match change {
            Ok(store::Change::Applied(revision)) => {
                if self.state.era() != self.number.era {
                    return None;
                }
                self.tables_revision = Revision::new(self.number.era, revision);
                self.settled = true;
                self.stored_tables.clone_from(&tables);
                self.tables_written = Clock.now();
                self.coordinator.adopt(tables);
                self.publish();
                return Some(revision);
            }
            // Another write was applied, perhaps an earlier one of this term that had no response.
            Ok(store::Change::Conflict | store::Change::LeaseEnded) => self.reload_tables().await,
            Err(error) => emit(Event::StoreUnreachable { error }),
        }
        None
    }

    /// Reads the tables and adopts them if they have changed.
    async fn reload_tables(&mut self) {
        match read_current(&self.state).await {
            Ok(Some((tables, revision))) if revision != self.tables_revision => {
                self.settled = true;
                self.tables_revision = revision;
                self.stored_tables.clone_from(&tables);
                self.coordinator.adopt(tables);
                self.publish();
            }
            Ok(_) => {}
            Err(error) => emit(Event::StoreUnreachable { error }),
        }
    }

    /// Plans moves of keys with their reasons: reissued fencing tokens, repairs, and rebalancing
    /// when it is due. Also updates the admitted shares of the targets.
    fn plan_moves(&mut self, now: Stamp) -> Vec<(Arc<str>, Move, &'static str)> {
        let mut moves = Vec::new();
        let Some(configuration) = self.state.configuration() else { return moves };
        let mut reports = self.reports.borrow_mut();
        let registry = self.state.registry.borrow();
        reports.retain_listed(&registry);
        let evacuations = self.state.evacuations.borrow();
        let rebalance = now >= self.next_balance;
        if rebalance {
            self.next_balance = now + BALANCE_INTERVAL;
        }
        let reissues = self.coordinator.fence_reissues();
        let usable = |incarnation: &Incarnation| {
            let listed = registry
                .get(&incarnation.id)
                .is_some_and(|member| member.target.incarnation == *incarnation);
            listed && !self.coordinator.is_unresponsive(incarnation, now)
        };
        for (service, key_move) in reissues {
            if usable(&key_move.to) {
                moves.push((service, key_move, "the connection of the owner's grant is gone"));
            }
        }
        let rebalance = rebalance && moves.is_empty();
        let tables = self.coordinator.tables();
        let empty = Table::default();
        let keyed = configuration.services.iter().filter(|(_, service)| service.keyed);
        for (service, settings) in keyed {
            let table = tables.get(service).unwrap_or(&empty);
            if table.holdings.is_empty() && now.since(self.started) < REGISTRATION_PERIOD {
                continue;
            }
            let usable =
                candidates(service, &registry, &reports.service_times, &self.coordinator, now);
            let is_cold = |candidate: &Candidate| {
                let member = registry.get(&candidate.incarnation.id);
                settings.warmup_rate > 0.0 && member.is_some_and(|member| now < member.warm_at)
            };
            let usable = usable.into_iter().map(|candidate| {
                let cold = is_cold(&candidate);
                (candidate, cold)
            });
            let domain = |incarnation: &Incarnation| {
                let member = registry.get(&incarnation.id);
                member.map(|member| member.target.domain.clone()).unwrap_or_default()
            };
            let (usable, leaving) = evacuations.divide(usable.collect(), table, &domain, now);
            let candidates = plan::prefer_warm(usable, table);
            let counts: Vec<u32> =
                candidates.iter().map(|c| reports.in_flight(&c.incarnation.id, now)).collect();
            let Reports { demand, admitted_shares, .. } = &mut *reports;
            let demands = demand.entry(service.clone()).or_default();
            demands.for_moves.decay(now);
            demands.for_admission.decay(now);
            let demand = &demands.for_moves.with_surges(&demands.for_admission);
            let rates = plan::rates(table, &demands.for_admission);
            for (candidate, count) in candidates.iter().zip(counts) {
                let id = &candidate.incarnation.id;
                let rate = rates.get(&candidate.incarnation).copied().unwrap_or(0.0);
                let (service_time, slots) = (candidate.service_time, candidate.slots);
                let sustainable = admission::sustainable_share(
                    rate,
                    demand::ADMISSION_TIME_CONSTANT,
                    service_time,
                    slots,
                );
                let share = admitted_shares.get(id).copied().unwrap_or(1.0);
                let share = admission::adjust_share(share, f64::from(count), slots, sustainable);
                if share < 1.0 {
                    admitted_shares.insert(id.clone(), share);
                } else {
                    admitted_shares.remove(id);
                }
            }
            let is_leaving = |incarnation: &Incarnation| leaving.contains(incarnation);
            let receivers = &candidates;
            let in_view = evacuation::Service { name: service, table, receivers, demand };
            let batch = self.batches.next(in_view, &is_leaving, &evacuations, now);
            let with_reason =
                |key_move| (service.clone(), key_move, "the failure domain is evacuated");
            moves.extend(batch.into_iter().map(with_reason));
            // Moves of evacuated keys and of others have different ranges.
            let repairs = plan::repair_except(table, &candidates, &is_leaving, demand);
            let evacuating = table.holdings.iter().any(|holding| is_leaving(&holding.owner));
            if !repairs.is_empty() {
                let with_reason =
                    |key_move| (service.clone(), key_move, "the keys have no usable owner");
                moves.extend(repairs.into_iter().map(with_reason));
            } else if rebalance && !evacuating {
                let balancing = balance::balance(table, &candidates, demand);
                let with_reason =
                    |key_move| (service.clone(), key_move, "the owner is busier than others");
                moves.extend(balancing.into_iter().map(with_reason));
            }
        }
        moves
    }

    /// Sends the owners of keys to the instances if they have changed.
    pub(super) fn publish(&mut self) {
        let owners = |(service, holdings): (Arc<str>, Vec<_>)| (service, Owners::new(&holdings));
        let services: BTreeMap<_, _> =
            self.coordinator.served_holdings().into_iter().map(owners).collect();
        self.published = true;
        let fences = self.coordinator.fences();
        let view = self.state.view.borrow();
        let unchanged = services == view.services && fences == view.fences;
        drop(view);
        if self.change > 0 && unchanged {
            return;
        }
        self.change += 1;
        let version = Version { term: self.number, change: self.change };
        let coordinator = self.state.settings.name.clone();
        let view = View { version, coordinator, services, fences };
        self.last_published = Clock.now();
        let change = view.changes_since(&self.state.view.borrow());
        peers::push_owners(&self.state, &change, &mut self.tasks);
        self.state.apply_view(view);
    }
}

/// Returns the targets that may own keys of a service. Those without a measured service time get
/// the mean of all.
fn candidates(
    service: &Arc<str>,
    registry: &Registry,
    service_times: &HashMap<Arc<str>, f64>,
    coordinator: &Coordinator,
    now: Stamp,
) -> Vec<Candidate> {
    let usable = registry.members().filter(|member| {
        let target = &member.target;
        target.service == *service
            && member.draining_since.is_none()
            && member.missing_since.is_none()
            && !coordinator.is_unresponsive(&target.incarnation, now)
    });
    let known: Vec<f64> = service_times.values().copied().collect();
    let count = f64::from(u32::try_from(known.len()).unwrap_or(u32::MAX));
    let mean =
        if known.is_empty() { DEFAULT_SERVICE_TIME } else { known.iter().sum::<f64>() / count };
    let mut candidates: Vec<Candidate> = usable
        .map(|member| Candidate {
            incarnation: member.target.incarnation.clone(),
            slots: f64::from(member.target.slots),
            service_time: service_times.get(&member.target.incarnation.id).copied().unwrap_or(mean),
        })
        .collect();
    candidates.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
    candidates
}
