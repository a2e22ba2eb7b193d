//! Heartbeats: liveness of instances, directory rows, and what is passed on with them.

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
use crate::peers::BeatAnswer;
use crate::peers::Silence;
use crate::timer::Part;

use super::Control;

/// Time for which a changed row is passed on inside the failure domain.
const PASS_ON: Duration = Duration::from_secs(2);

/// Age up to which a crash is told to others; each heartbeat carries the recent ones.
const CRASH_TOLD: Duration = Duration::from_secs(2);

/// Instances of another failure domain that are told of a new coordinator at once.
const TOLD_PER_DOMAIN: usize = 2;

impl Control {
    pub(super) fn send_heartbeats(&mut self, now: Stamp) {
        let domain = self.parts.me.domain.clone();
        let peers: Vec<(SocketAddr, Process)> = self
            .directory
            .of_domain(&domain)
            .into_iter()
            .filter(|member| member.process != self.parts.me.process)
            .filter(|member| self.roster.gone_at(&member.process).is_none())
            .map(|member| (member.control, member.process.clone()))
            .collect();
        for (address, process) in peers {
            self.roster.add_process(&process, now);
            self.send_beat(address, Some(process), now);
        }
        self.notice_members(now);
        self.confirm_by_peers(now);
    }

    /// Sends a heartbeat to one instance of each other failure domain in turn.
    pub(super) fn send_survey(&mut self, now: Stamp) {
        self.survey_turn = self.survey_turn.wrapping_add(1);
        let turn = self.survey_turn;
        for domain in self.other_domains() {
            let members = self.directory.of_domain(&domain);
            let index = turn.checked_rem(members.len()).unwrap_or(0);
            if let Some(member) = members.get(index) {
                let (address, process) = (member.control, member.process.clone());
                self.send_beat(address, Some(process), now);
            }
        }
    }

    /// Tells others at once that the coordinator of a group has changed.
    pub(super) fn announce(&mut self, now: Stamp) {
        self.timer.hasten(Part::Heartbeat, now);
        for domain in self.other_domains() {
            let told: Vec<(SocketAddr, Process)> = self
                .directory
                .of_domain(&domain)
                .into_iter()
                .take(TOLD_PER_DOMAIN)
                .map(|member| (member.control, member.process.clone()))
                .collect();
            for (address, process) in told {
                self.send_beat(address, Some(process), now);
            }
        }
    }

    pub(super) fn other_domains(&self) -> Vec<name::Domain> {
        let domains = self.plan.iter().flat_map(|plan| plan.domains.iter());
        domains.filter(|domain| **domain != self.parts.me.domain).cloned().collect()
    }

    fn send_beat(&mut self, address: SocketAddr, expected: Option<Process>, now: Stamp) {
        if self.beating.insert(address) {
            let beat = self.own_beat(now);
            self.parts.caller.beat(address, expected, beat);
        }
    }

    pub(super) fn own_beat(&self, now: Stamp) -> peer::Heartbeat {
        let changed_lately = |row: &&crate::directory::Row| now.since(row.changed) < PASS_ON;
        let held: Vec<peer::Row> = self.own_rows();
        let passed = self
            .directory
            .rows()
            .iter()
            .filter(|(group, row)| self.is_own_domain(group) || changed_lately(row))
            .filter(|(group, _)| !self.coordinated.contains_key(*group))
            .filter(|(_, row)| row.holder != self.parts.me.process)
            .map(|(group, row)| Directory::to_wire(group, row));
        let alive = self.roster.alive(now);
        let members = self
            .directory
            .members()
            .filter(|member| {
                member.process == self.parts.me.process || alive.contains(&member.process)
            })
            .map(Member::to_wire);
        peer::Heartbeat {
            sender: Some(self.parts.me.to_wire()),
            config_version: self.document.as_ref().map_or(0, |(version, _)| *version),
            stopping: self.stopping.is_some(),
            rows: held,
            relayed_rows: passed.collect(),
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
                holder: self.parts.me.process.instance.to_string(),
                holder_incarnation: self.parts.me.process.incarnation,
                peer_address: self.parts.me.peer.to_string(),
                admin_address: self.parts.me.admin.to_string(),
                successor,
                reserved_term,
                queue_percent: coordination.lane.queue_percent(),
            }
        };
        self.coordinated.iter().map(|(group, coordination)| row(group, coordination)).collect()
    }

    fn own_crashes(&self, now: Stamp) -> Vec<peer::Crash> {
        let reports = self.parts.router.quarantine().reports(now);
        let recent = reports.into_iter().filter(|report| report.age < CRASH_TOLD);
        let message = |report: quarantine::Report| peer::Crash {
            fingerprint: report.fingerprint.0,
            target: report.crash.target.to_string(),
            incarnation: report.crash.incarnation,
            age_ms: u64::try_from(report.age.as_millis()).unwrap_or(u64::MAX),
        };
        recent.map(message).collect()
    }

    fn is_own_domain(&self, group: &name::Group) -> bool {
        let plan = self.plan.as_ref().and_then(|plan| plan.group(group));
        plan.is_some_and(|group| group.domain == self.parts.me.domain)
    }

    /// Takes over what a heartbeat or its answer says.
    pub(super) fn take_beat(&mut self, beat: &peer::Heartbeat, now: Stamp) {
        let Some(sender) = beat.sender.as_ref().and_then(Member::from_wire) else { return };
        if sender.process == self.parts.me.process {
            return;
        }
        let own_domain = sender.domain == self.parts.me.domain;
        self.directory.add_member(sender.clone());
        for member in beat.members.iter().filter_map(Member::from_wire) {
            if member.process.instance != self.parts.me.process.instance {
                self.directory.add_member(member);
            }
        }
        for row in beat.rows.iter().chain(&beat.relayed_rows) {
            self.dirty |= self.directory.take(row, now);
            self.notice_term(&name::Group::new(&row.group), row.term, &row.holder, now);
        }
        self.take_crashes(&beat.crashes);
        if own_domain {
            self.take_domain_beat(&sender, beat, now);
        }
        self.notice_version(beat.config_version, sender.control);
    }

    fn take_domain_beat(&mut self, sender: &Member, beat: &peer::Heartbeat, now: Stamp) {
        let words: Vec<Announcement> = beat.rows.iter().map(word).collect();
        self.roster.record_heartbeat(&sender.process, &words, beat.stopping, now);
        if beat.record_revision > self.record_revision() {
            self.parts.storage.read_domain(self.parts.me.domain.clone());
        }
        self.apply_platform_states(&beat.leaving, &beat.gone, now);
    }

    /// Ends a coordination of a lower term.
    fn notice_term(&mut self, group: &name::Group, term: u64, holder: &str, now: Stamp) {
        let own = holder == self.parts.me.process.instance.as_str();
        let held = self.coordinated.get(group).map(|row| row.origin.term);
        if !own && held.is_some_and(|held| held < term) {
            self.step(group, Event::Fenced(term), now);
        }
    }

    fn take_crashes(&self, crashes: &[peer::Crash]) {
        for crash in crashes {
            let report = quarantine::Report {
                fingerprint: quarantine::Fingerprint(crash.fingerprint),
                crash: quarantine::Crash {
                    target: name::Target::new(&crash.target),
                    incarnation: crash.incarnation,
                },
                age: Duration::from_millis(crash.age_ms),
            };
            self.parts.router.merge_crash(report);
        }
    }

    /// Takes what the platform's list or an operator says, as this instance has read it.
    pub(super) fn take_platform_list(
        &mut self,
        leaving: Vec<String>,
        gone: Vec<String>,
        now: Stamp,
    ) {
        self.apply_platform_states(&leaving, &gone, now);
        self.leaving = leaving.into_iter().collect();
        self.gone = gone.into_iter().collect();
    }

    /// Applies what the platform says about targets and instances, as read here or by a peer.
    ///
    /// A name that is listed as gone counts only while nothing is heard from it: the list lags, and a process that was
    /// started again under the name is alive.
    fn apply_platform_states(&mut self, leaving: &[String], gone: &[String], now: Stamp) {
        for name in leaving {
            self.step_all(&Event::Leaving(name::Target::new(name)), now);
        }
        let alive = self.roster.alive(now);
        for name in gone {
            self.step_gone(&name::Target::new(name), now);
            let member = self.directory.member(&name::Instance::new(name));
            let process = member.map(|member| member.process.clone());
            if let Some(process) = process.filter(|process| !alive.contains(process)) {
                self.prove_gone(&process, "the platform's list or an operator says so", now);
            }
        }
    }

    fn step_gone(&mut self, target: &name::Target, now: Stamp) {
        let granted = |row: &crate::coordination::Coordination| {
            matches!(row.health().get(target), Some(Health::Granted(_)))
        };
        let groups: Vec<name::Group> = self
            .coordinated
            .iter()
            .filter(|(_, row)| !granted(row))
            .map(|(group, _)| group.clone())
            .collect();
        for group in groups {
            self.step(&group, Event::Gone { target: target.clone(), sent: now }, now);
        }
    }

    pub(super) fn take_beat_answer(&mut self, answer: BeatAnswer, now: Stamp) {
        self.beating.remove(&answer.address);
        match answer.result {
            Ok(beat) => {
                self.take_beat(&beat, now);
                self.note_answer(&beat, answer.expected, answer.sent, now);
            }
            Err(Silence::Refused) => {
                if let Some(process) = answer.expected {
                    self.prove_gone(&process, "its address refuses connections", now);
                }
            }
            Err(Silence::Unknown) => {}
        }
    }

    fn note_answer(
        &mut self,
        beat: &peer::Heartbeat,
        expected: Option<Process>,
        sent: Stamp,
        now: Stamp,
    ) {
        let Some(sender) = beat.sender.as_ref().and_then(Member::from_wire) else { return };
        if let Some(expected) = expected.filter(|expected| *expected != sender.process) {
            self.prove_gone(&expected, "another process answers at its address", now);
        }
        if sender.domain == self.parts.me.domain {
            self.roster.record_reply(&sender.process, sent, now);
            self.confirm_by_peers(now);
        }
    }

    fn confirm_by_peers(&mut self, now: Stamp) {
        if let Some(since) = self.roster.confirmed_since(now) {
            self.step_all(&Event::Confirmed(since), now);
        }
    }

    fn prove_gone(&mut self, process: &Process, proof: &str, now: Stamp) {
        let member = self.directory.member(&process.instance);
        let own = member.is_some_and(|member| member.domain == self.parts.me.domain);
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
        self.timer.hasten(Part::Roster, now);
    }

    /// Logs which instances of the failure domain are heard from and which are not any more.
    fn notice_members(&mut self, now: Stamp) {
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

    /// Takes a hint of the data path: the control plane checks it at once instead of at the next period.
    pub(super) fn take_report(&mut self, report: report::Event, now: Stamp) {
        match report {
            report::Event::ConnectFailed { group, target, .. }
            | report::Event::Lost { group, target, .. } => {
                if let Some(row) = self.coordinated.get(&group) {
                    row.probe(&target);
                }
            }
            report::Event::Refused { group, target, .. } => {
                if let Some(row) = self.coordinated.get(&group) {
                    row.probe(&target);
                }
            }
            report::Event::PeerUnreachable { instance, .. }
            | report::Event::Misdirected { instance, .. } => {
                let known = self.directory.member(&instance);
                let known = known.map(|member| (member.control, member.process.clone()));
                if let Some((address, process)) = known {
                    self.send_beat(address, Some(process), now);
                }
            }
        }
    }
}

fn word(row: &peer::Row) -> Announcement {
    Announcement {
        group: name::Group::new(&row.group),
        term: row.term,
        successor: (!row.successor.is_empty()).then(|| name::Instance::new(&row.successor)),
        reserved: row.reserved_term,
    }
}
