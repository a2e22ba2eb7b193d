//! Heartbeats: liveness of instances, and the dissemination of directory rows, crash reports and
//! platform states.

use std::net::SocketAddr;
use std::time::Duration;

use caraway_call::quarantine;
use caraway_core::name;
use caraway_core::time::Stamp;
use caraway_ownership::event::Event;
use caraway_ownership::event::Health;
use caraway_ownership::roster::Announcement;
use caraway_ownership::roster::Process;
use caraway_relay::report;
use caraway_telemetry::event;
use caraway_telemetry::event::Event as LogEvent;
use caraway_wire::peer;

use crate::directory::Directory;
use crate::directory::Member;
use crate::peers::Failure;
use crate::peers::HeartbeatResult;
use crate::timer::Task;

use super::Control;

/// Time for which the changed row of another failure domain is forwarded in heartbeats.
const ROW_PROPAGATION_PERIOD: Duration = Duration::from_secs(2);

/// Age up to which a crash is included in heartbeats.
const MAX_CRASH_AGE: Duration = Duration::from_secs(2);

/// Number of instances per other failure domain that are notified of a new coordinator at once.
const ANNOUNCED_PER_DOMAIN: usize = 2;

impl Control {
    pub(super) fn send_heartbeats(&mut self, now: Stamp) {
        let domain = self.context.me.domain.clone();
        let peers: Vec<(SocketAddr, Process)> = self
            .directory
            .of_domain(&domain)
            .into_iter()
            .filter(|member| member.process != self.context.me.process)
            .filter(|member| self.roster.gone_at(&member.process).is_none())
            .map(|member| (member.control, member.process.clone()))
            .collect();
        for (address, process) in peers {
            self.roster.add_process(&process, now);
            self.send_heartbeat(address, Some(process), now);
        }
        self.log_member_changes(now);
        self.confirm_by_peers(now);
    }

    /// Sends a heartbeat to one instance of each other failure domain, in round-robin order.
    pub(super) fn send_cross_domain_heartbeats(&mut self, now: Stamp) {
        self.cross_domain_round = self.cross_domain_round.wrapping_add(1);
        let round = self.cross_domain_round;
        for domain in self.other_domains() {
            let members = self.directory.of_domain(&domain);
            let index = round.checked_rem(members.len()).unwrap_or(0);
            if let Some(member) = members.get(index) {
                let (address, process) = (member.control, member.process.clone());
                self.send_heartbeat(address, Some(process), now);
            }
        }
    }

    /// Sends heartbeats at once to announce that the coordinator of a group has changed.
    pub(super) fn announce(&mut self, now: Stamp) {
        self.scheduler.make_due(Task::Heartbeat, now);
        for domain in self.other_domains() {
            let receivers: Vec<(SocketAddr, Process)> = self
                .directory
                .of_domain(&domain)
                .into_iter()
                .take(ANNOUNCED_PER_DOMAIN)
                .map(|member| (member.control, member.process.clone()))
                .collect();
            for (address, process) in receivers {
                self.send_heartbeat(address, Some(process), now);
            }
        }
    }

    pub(super) fn other_domains(&self) -> Vec<name::Domain> {
        let domains = self.plan.iter().flat_map(|plan| plan.domains.iter());
        domains.filter(|domain| **domain != self.context.me.domain).cloned().collect()
    }

    fn send_heartbeat(&mut self, address: SocketAddr, expected: Option<Process>, now: Stamp) {
        if self.heartbeats_in_flight.insert(address) {
            let heartbeat = self.own_heartbeat(now);
            self.context.peers.send_heartbeat(address, expected, heartbeat);
        }
    }

    pub(super) fn own_heartbeat(&self, now: Stamp) -> peer::Heartbeat {
        let recently_changed =
            |row: &&crate::directory::Row| now.since(row.changed_at) < ROW_PROPAGATION_PERIOD;
        let held: Vec<peer::Row> = self.own_rows();
        let forwarded = self
            .directory
            .rows()
            .iter()
            .filter(|(group, row)| self.is_own_domain(group) || recently_changed(row))
            .filter(|(group, _)| !self.coordinated.contains_key(*group))
            .filter(|(_, row)| row.holder != self.context.me.process)
            .map(|(group, row)| Directory::to_wire(group, row));
        let alive = self.roster.alive(now);
        let members = self
            .directory
            .members()
            .filter(|member| {
                member.process == self.context.me.process || alive.contains(&member.process)
            })
            .map(Member::to_wire);
        peer::Heartbeat {
            sender: Some(self.context.me.to_wire()),
            config_version: self.document.as_ref().map_or(0, |(version, _)| *version),
            stopping: self.stopping.is_some(),
            rows: held,
            relayed_rows: forwarded.collect(),
            crashes: self.own_crashes(now),
            members: members.collect(),
            record_revision: self.record_revision(),
            leaving: self.leaving.iter().cloned().collect(),
            gone: self.gone.iter().cloned().collect(),
        }
    }

    fn own_rows(&self) -> Vec<peer::Row> {
        let row = |group: &name::Group, coordination: &crate::coordination::Coordination| {
            let named = self.roster.named_successor(group);
            let (successor, reserved_term) =
                named.map_or((String::new(), 0), |(name, term)| (name.to_string(), term));
            peer::Row {
                group: group.to_string(),
                term: coordination.origin.term,
                holder: self.context.me.process.instance.to_string(),
                holder_incarnation: self.context.me.process.incarnation,
                peer_address: self.context.me.peer.to_string(),
                admin_address: self.context.me.admin.to_string(),
                successor,
                reserved_term,
                queue_percent: coordination.admission.queue_percent(),
            }
        };
        self.coordinated.iter().map(|(group, coordination)| row(group, coordination)).collect()
    }

    fn own_crashes(&self, now: Stamp) -> Vec<peer::Crash> {
        let reports = self.context.router.quarantine().reports(now);
        let recent = reports.into_iter().filter(|report| report.age < MAX_CRASH_AGE);
        let message = |report: quarantine::Report| peer::Crash {
            fingerprint: report.request.fingerprint.0,
            target: report.crash.target.to_string(),
            incarnation: report.crash.incarnation,
            age_ms: u64::try_from(report.age.as_millis()).unwrap_or(u64::MAX),
        };
        recent.map(message).collect()
    }

    fn is_own_domain(&self, group: &name::Group) -> bool {
        let plan = self.plan.as_ref().and_then(|plan| plan.group(group));
        plan.is_some_and(|group| group.domain == self.context.me.domain)
    }

    /// Applies the contents of a heartbeat or of the answer to one.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: &peer::Heartbeat, now: Stamp) {
        let Some(sender) = heartbeat.sender.as_ref().and_then(Member::from_wire) else { return };
        if sender.process == self.context.me.process {
            return;
        }
        let own_domain = sender.domain == self.context.me.domain;
        self.directory.add_member(sender.clone());
        for member in heartbeat.members.iter().filter_map(Member::from_wire) {
            if member.process.instance != self.context.me.process.instance {
                self.directory.add_member(member);
            }
        }
        for row in heartbeat.rows.iter().chain(&heartbeat.relayed_rows) {
            self.dirty |= self.directory.update_row(row, now);
            self.fence_lower_term(&name::Group::new(&row.group), row.term, &row.holder, now);
        }
        self.merge_crashes(&heartbeat.crashes);
        if own_domain {
            self.handle_domain_heartbeat(&sender, heartbeat, now);
        }
        self.request_newer_document(heartbeat.config_version, sender.control);
    }

    fn handle_domain_heartbeat(
        &mut self,
        sender: &Member,
        heartbeat: &peer::Heartbeat,
        now: Stamp,
    ) {
        let announcements: Vec<Announcement> = heartbeat.rows.iter().map(announcement).collect();
        self.roster.record_heartbeat(&sender.process, &announcements, heartbeat.stopping, now);
        if heartbeat.record_revision > self.record_revision() {
            self.context.storage.read_domain(self.context.me.domain.clone());
        }
        self.apply_platform_states(&heartbeat.leaving, &heartbeat.gone, now);
    }

    /// Ends the own coordination of a group if another instance holds a higher term.
    fn fence_lower_term(&mut self, group: &name::Group, term: u64, holder: &str, now: Stamp) {
        let own = holder == self.context.me.process.instance.as_str();
        let held = self.coordinated.get(group).map(|coordination| coordination.origin.term);
        if !own && held.is_some_and(|held| held < term) {
            self.step(group, Event::Fenced(term), now);
        }
    }

    fn merge_crashes(&self, crashes: &[peer::Crash]) {
        for crash in crashes {
            let report = quarantine::Report {
                request: quarantine::Fingerprint(crash.fingerprint).into(),
                crash: quarantine::Crash {
                    target: name::Target::new(&crash.target),
                    incarnation: crash.incarnation,
                },
                age: Duration::from_millis(crash.age_ms),
            };
            self.context.router.merge_crash(report);
        }
    }

    /// Applies and keeps the states from the platform's list and the operators' declarations, as
    /// read by this instance. Heartbeats forward the kept states.
    pub(super) fn update_platform_list(
        &mut self,
        leaving: Vec<String>,
        gone: Vec<String>,
        now: Stamp,
    ) {
        self.apply_platform_states(&leaving, &gone, now);
        self.leaving = leaving.into_iter().collect();
        self.gone = gone.into_iter().collect();
    }

    /// Applies the leaving and gone states of targets and instances, read by this instance or by a
    /// peer.
    ///
    /// The gone state is ignored for an instance that sends heartbeats and for a target that holds
    /// a grant: the list lags behind, and a process restarted under the same name is alive.
    fn apply_platform_states(&mut self, leaving: &[String], gone: &[String], now: Stamp) {
        for name in leaving {
            self.step_all(&Event::Leaving(name::Target::new(name)), now);
        }
        let alive = self.roster.alive(now);
        for name in gone {
            self.report_target_gone(&name::Target::new(name), now);
            let member = self.directory.member(&name::Instance::new(name));
            let process = member.map(|member| member.process.clone());
            if let Some(process) = process.filter(|process| !alive.contains(process)) {
                self.handle_gone(
                    &process,
                    "the platform's list or an operator reports it gone",
                    now,
                );
            }
        }
    }

    fn report_target_gone(&mut self, target: &name::Target, now: Stamp) {
        let holds_grant = |coordination: &crate::coordination::Coordination| {
            matches!(coordination.health().get(target), Some(Health::Granted(_)))
        };
        let groups: Vec<name::Group> = self
            .coordinated
            .iter()
            .filter(|(_, coordination)| !holds_grant(coordination))
            .map(|(group, _)| group.clone())
            .collect();
        for group in groups {
            self.step(&group, Event::Gone { target: target.clone(), sent: now }, now);
        }
    }

    pub(super) fn handle_heartbeat_result(&mut self, result: HeartbeatResult, now: Stamp) {
        self.heartbeats_in_flight.remove(&result.address);
        match result.result {
            Ok(heartbeat) => {
                self.handle_heartbeat(&heartbeat, now);
                self.record_heartbeat_answer(&heartbeat, result.expected, result.sent, now);
            }
            Err(Failure::Refused) => {
                if let Some(process) = result.expected {
                    self.handle_gone(&process, "its address refuses connections", now);
                }
            }
            Err(Failure::Unknown) => {}
        }
    }

    fn record_heartbeat_answer(
        &mut self,
        heartbeat: &peer::Heartbeat,
        expected: Option<Process>,
        sent: Stamp,
        now: Stamp,
    ) {
        let Some(sender) = heartbeat.sender.as_ref().and_then(Member::from_wire) else { return };
        if let Some(expected) = expected.filter(|expected| *expected != sender.process) {
            self.handle_gone(&expected, "another process answers at its address", now);
        }
        if sender.domain == self.context.me.domain {
            self.roster.record_reply(&sender.process, sent, now);
            self.confirm_by_peers(now);
        }
    }

    fn confirm_by_peers(&mut self, now: Stamp) {
        if let Some(since) = self.roster.confirmed_since(now) {
            self.step_all(&Event::Confirmed(since), now);
        }
    }

    fn handle_gone(&mut self, process: &Process, proof: &str, now: Stamp) {
        let member = self.directory.member(&process.instance);
        let own = member.is_some_and(|member| member.domain == self.context.me.domain);
        if !own {
            self.directory.remove_member(process);
            return;
        }
        if self.roster.gone_at(process).is_some() {
            return;
        }
        self.roster.record_gone(process, now);
        event::emit(LogEvent::MemberGone {
            instance: process.instance.clone(),
            incarnation: process.incarnation,
            proof: proof.to_owned(),
        });
        self.scheduler.make_due(Task::Roster, now);
    }

    /// Logs the instances of the failure domain that have joined, are stopping or have become
    /// silent.
    fn log_member_changes(&mut self, now: Stamp) {
        let alive = self.roster.alive(now);
        for process in &alive {
            if self.known_alive.insert(process.clone()) {
                let Process { instance, incarnation } = process.clone();
                event::emit(LogEvent::MemberJoined { instance, incarnation });
            }
        }
        let silent: Vec<Process> =
            self.known_alive.iter().filter(|process| !alive.contains(process)).cloned().collect();
        for process in silent {
            self.known_alive.remove(&process);
            if self.roster.is_stopping(&process) {
                event::emit(LogEvent::MemberStopping { instance: process.instance });
            } else if self.roster.gone_at(&process).is_none() {
                let silent_ms =
                    u64::try_from(caraway_ownership::claim::SUSPICION_TIMEOUT.as_millis());
                event::emit(LogEvent::MemberSuspected {
                    instance: process.instance,
                    silent_ms: silent_ms.unwrap_or(0),
                });
            }
        }
    }

    /// Handles an observation of the data path: probes the target or instance at once instead of
    /// at the next period.
    pub(super) fn handle_report(&mut self, report: report::Event, now: Stamp) {
        match report {
            report::Event::ConnectFailed { group, target, .. }
            | report::Event::Lost { group, target, .. } => {
                if let Some(coordination) = self.coordinated.get(&group) {
                    coordination.probe(&target);
                }
            }
            report::Event::Refused { group, target, .. } => {
                if let Some(coordination) = self.coordinated.get(&group) {
                    coordination.probe(&target);
                }
            }
            report::Event::PeerUnreachable { instance, .. }
            | report::Event::Misdirected { instance, .. } => {
                let member = self.directory.member(&instance);
                let member = member.map(|member| (member.control, member.process.clone()));
                if let Some((address, process)) = member {
                    self.send_heartbeat(address, Some(process), now);
                }
            }
        }
    }
}

fn announcement(row: &peer::Row) -> Announcement {
    Announcement {
        group: name::Group::new(&row.group),
        term: row.term,
        successor: (!row.successor.is_empty()).then(|| name::Instance::new(&row.successor)),
        reserved: row.reserved_term,
    }
}
