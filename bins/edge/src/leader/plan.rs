//! Changes of ownership: what is to change, its write to the store, and what the instances are told.

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
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Registry;
use caraway_fleet::ownership::Move;
use caraway_fleet::plan;
use caraway_fleet::plan::Candidate;
use caraway_fleet::reports::Reports;
use caraway_fleet::view::Owners;
use caraway_fleet::view::Version;
use caraway_fleet::view::View;
use caraway_telemetry::event::Event;
use caraway_telemetry::event::emit;

use crate::feed::LEADER;
use crate::feed::OWNERS;
use crate::leader::BALANCE;
use crate::leader::Term;
use crate::leader::read_tables;
use crate::peers;
use crate::pool::Failure;
use crate::store::send;

/// Time after a change of ownership from which the store is told that earlier owners have ended.
/// Most have by then, so that one write tells of all.
const SETTLE: Duration = Duration::from_millis(1500);

/// Time that targets have to register before keys are given out for the first time.
const GATHER: Duration = Duration::from_millis(1500);

/// Time of a request at a target of which nothing is known, in seconds. Only ratios count until
/// the first reports.
const USUAL_TIME: f64 = 0.1;

impl Term {
    /// Writes changes of ownership to the store.
    pub(super) async fn plan(&mut self, now: Stamp) {
        let used = self.coordinator.grant_connections();
        // A line that a call is using has a second owner.
        self.lines.retain(|number, line| used.contains(number) || Rc::strong_count(line) > 1);
        if !self.renumbered {
            let tables = self.coordinator.with_renewed_fences();
            self.renumbered = tables.is_empty() || self.write(tables).await.is_some();
            return;
        }
        let moves = self.moves(now);
        if moves.is_empty() {
            // A successor need not wait for earlier owners that are known to have ended.
            let tables = self.coordinator.tables();
            if tables != self.stored && now.since(self.changed) > SETTLE {
                self.write(tables).await;
            }
            return;
        }
        let steps: Vec<(Arc<str>, Move)> =
            moves.iter().map(|(service, step, _)| (service.clone(), step.clone())).collect();
        let Some(revision) = self.write(self.coordinator.propose(&steps)).await else { return };
        for (service, step, reason) in moves {
            self.state.metrics.moved.inc();
            emit(Event::KeysMoved {
                service: service.to_string(),
                first: step.first.into(),
                last: step.last.into(),
                to: step.to.id.to_string(),
                reason: reason.to_owned(),
                revision,
            });
        }
    }

    /// Writes tables and takes them over; returns their revision, or none if that failed.
    async fn write(&mut self, tables: Tables) -> Option<u64> {
        let value = match serde_json::to_vec(&tables) {
            Ok(value) => value,
            Err(error) => {
                let (key, error) = (OWNERS.to_owned(), error.to_string());
                emit(Event::RecordInvalid { key, error });
                return None;
            }
        };
        let conditions = vec![(LEADER, self.term), (OWNERS, self.written)];
        let puts = vec![(OWNERS, value.as_slice(), 0)];
        let transaction = Transaction { conditions, puts, removals: vec![] };
        let call = store::change(&transaction);
        let answer = send(&self.state, &call, "change", Duration::ZERO).await;
        let change = match answer {
            Ok((status, body)) => {
                store::change_answer(status, &body).map_err(|error| error.to_string())
            }
            Err(Failure::Unsent(error)) => Err(error.to_string()),
            Err(Failure::Sent(_)) => {
                let (key, write_id) = (OWNERS.to_owned(), self.written.to_string());
                emit(Event::WriteAmbiguous { key, write_id });
                return None;
            }
        };
        match change {
            Ok(store::Change::Applied(revision)) => {
                self.written = revision;
                self.stored.clone_from(&tables);
                self.changed = Clock.now();
                self.coordinator.adopt(tables);
                self.publish();
                return Some(revision);
            }
            // Another write was made, perhaps an earlier one of this term without an answer.
            Ok(store::Change::Conflict | store::Change::LeaseEnded) => self.reread().await,
            Err(error) => emit(Event::StoreUnreachable { error }),
        }
        None
    }

    async fn reread(&mut self) {
        match read_tables(&self.state).await {
            Ok((tables, revision)) if revision != self.written => {
                self.written = revision;
                self.stored.clone_from(&tables);
                self.coordinator.adopt(tables);
                self.publish();
            }
            Ok(_) => {}
            Err(error) => emit(Event::StoreUnreachable { error }),
        }
    }

    fn moves(&mut self, now: Stamp) -> Vec<(Arc<str>, Move, &'static str)> {
        let mut moves = Vec::new();
        let Some(configuration) = self.state.configuration() else { return moves };
        let mut reports = self.reports.borrow_mut();
        let registry = self.state.registry.borrow();
        reports.retain_listed(&registry);
        let balance = now >= self.next_balance;
        if balance {
            self.next_balance = now + BALANCE;
        }
        let severed = self.coordinator.fence_reissues();
        let usable = |life: &Incarnation| {
            let listed =
                registry.get(&life.id).is_some_and(|member| member.target.incarnation == *life);
            listed && !self.coordinator.is_unresponsive(life, now)
        };
        for (service, step) in severed {
            if usable(&step.to) {
                moves.push((service, step, "the connection of the owner's grant is gone"));
            }
        }
        let balance = balance && moves.is_empty();
        let tables = self.coordinator.tables();
        let empty = caraway_fleet::ownership::Table::default();
        let keyed = configuration.services.iter().filter(|(_, service)| service.keyed);
        for (service, _) in keyed {
            let table = tables.get(service).unwrap_or(&empty);
            if table.holdings.is_empty() && now.since(self.started) < GATHER {
                continue;
            }
            let candidates =
                candidates(service, &registry, &reports.service_times, &self.coordinator, now);
            let counts: Vec<u32> =
                candidates.iter().map(|c| reports.in_flight(&c.incarnation.id, now)).collect();
            let Reports { demand, admitted_shares: shares, .. } = &mut *reports;
            let demands = demand.entry(service.clone()).or_default();
            demands.for_moves.decay(now);
            demands.for_admission.decay(now);
            let demand = &demands.for_moves.with_surges(&demands.for_admission);
            let rates = plan::rates(table, &demands.for_admission);
            for (candidate, count) in candidates.iter().zip(counts) {
                let id = &candidate.incarnation.id;
                let rate = rates.get(&candidate.incarnation).copied().unwrap_or(0.0);
                let (time, slots) = (candidate.service_time, candidate.slots);
                let suggested = admission::sustainable_share(
                    rate,
                    demand::ADMISSION_TIME_CONSTANT,
                    time,
                    slots,
                );
                let share = shares.get(id).copied().unwrap_or(1.0);
                let share = admission::adjust_share(share, f64::from(count), slots, suggested);
                if share < 1.0 {
                    shares.insert(id.clone(), share);
                } else {
                    shares.remove(id);
                }
            }
            let repairs = plan::repair(table, &candidates, demand);
            if !repairs.is_empty() {
                let repair = |step| (service.clone(), step, "the keys have no usable owner");
                moves.extend(repairs.into_iter().map(repair));
            } else if balance {
                let steps = balance::balance(table, &candidates, demand);
                let step = |step| (service.clone(), step, "the owner is busier than others");
                moves.extend(steps.into_iter().map(step));
            }
        }
        moves
    }

    /// Tells the instances who owns which keys, if that has changed.
    pub(super) fn publish(&mut self) {
        let owners = |(service, holdings): (Arc<str>, Vec<_>)| (service, Owners::new(&holdings));
        let services: BTreeMap<_, _> =
            self.coordinator.served_holdings().into_iter().map(owners).collect();
        if self.change > 0 && services == self.state.view.borrow().services {
            return;
        }
        self.change += 1;
        let version = Version { term: self.term, change: self.change };
        let coordinator = self.state.settings.name.clone();
        let view = View { version, coordinator, services };
        self.told = Clock.now();
        let change = view.changes_since(&self.state.view.borrow());
        peers::push(&self.state, &change, &mut self.work);
        self.state.own(view);
    }
}

fn candidates(
    service: &Arc<str>,
    registry: &Registry,
    times: &HashMap<Arc<str>, f64>,
    coordinator: &Coordinator,
    now: Stamp,
) -> Vec<Candidate> {
    let usable = registry.members().filter(|member| {
        let target = &member.target;
        target.service == *service
            && !target.draining
            && member.missing_since.is_none()
            && !coordinator.is_unresponsive(&target.incarnation, now)
    });
    let known: Vec<f64> = times.values().copied().collect();
    let count = f64::from(u32::try_from(known.len()).unwrap_or(u32::MAX));
    let usual = if known.is_empty() { USUAL_TIME } else { known.iter().sum::<f64>() / count };
    let mut candidates: Vec<Candidate> = usable
        .map(|member| Candidate {
            incarnation: member.target.incarnation.clone(),
            slots: f64::from(member.target.slots),
            service_time: times.get(&member.target.incarnation.id).copied().unwrap_or(usual),
        })
        .collect();
    candidates.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
    candidates
}
