//! Answers to the queries of the admin interface. Ages are in milliseconds at the time of the
//! answer.

use serde_json::Value;
use serde_json::json;

use caraway_core::name;
use caraway_core::shard;
use caraway_core::time::Stamp;
use caraway_ownership::event::Health;
use caraway_ownership::grant;

use crate::coordination::Coordination;
use crate::message::Query;

use super::Control;

impl Control {
    pub(super) fn answer_query(&self, query: &Query, now: Stamp) -> Option<Value> {
        match query {
            Query::Ready => Some(json!(self.is_ready())),
            Query::Status => Some(self.status_json(now)),
            Query::Directory => Some(self.directory_json(now)),
            Query::Key { service, key } => self.explain_key(service, key, now),
        }
    }

    fn status_json(&self, now: Stamp) -> Value {
        let me = &self.context.me;
        let groups: Vec<Value> = self
            .coordinated
            .iter()
            .map(|(name, coordination)| self.group_json(name, coordination, now))
            .collect();
        json!({
            "instance": me.process.instance,
            "incarnation": me.process.incarnation,
            "failure_domain": me.domain,
            "environment": self.plan.as_ref().map(|plan| plan.environment.to_string()),
            "config_version": self.document.as_ref().map_or(0, |(version, _)| *version),
            "ready": self.is_ready(),
            "stopping": self.stopping.is_some(),
            "uptime_ms": age_ms(self.started_at, now),
            "groups": groups,
            "degraded": self.degradations(now),
            "store": {
                "reachable": self.store.reachable,
                "last_ok_ms": self.store.last_response.map(|last| age_ms(last, now)),
            },
        })
    }

    fn group_json(&self, name: &name::Group, coordination: &Coordination, now: Stamp) -> Value {
        let targets: Vec<Value> = coordination
            .group
            .targets
            .iter()
            .map(|target| {
                let health =
                    coordination.health().get(&target.name).copied().unwrap_or(Health::Lost);
                json!({
                    "target": target.name,
                    "state": health_name(health),
                    "shards": coordination.machine().owned_by(&target.name).len(),
                    "in_flight": coordination.admission.target_in_flight(&target.name),
                })
            })
            .collect();
        let state = if coordination.is_served(now) { "serving" } else { "collecting-history" };
        json!({
            "group": name,
            "term": coordination.origin.term,
            "state": state,
            "reason": coordination.origin.reason,
            "since_ms": age_ms(coordination.origin.claimed_at, now),
            "targets": targets,
        })
    }

    fn degradations(&self, now: Stamp) -> Vec<Value> {
        let mut degradations = Vec::new();
        let mut add = |what: String, since: Option<Stamp>, waiting_for: &str| {
            let since_ms = since.map(|since| age_ms(since, now));
            degradations
                .push(json!({ "what": what, "since_ms": since_ms, "waiting_for": waiting_for }));
        };
        if !self.store.reachable {
            add("the store cannot be reached".to_owned(), self.store.last_response, "the store");
        }
        if self.plan.is_none() {
            add("no configuration".to_owned(), Some(self.started_at), "the store or a peer");
        }
        for process in self.roster.silent(now) {
            let what = format!("instance {} is silent", process.instance);
            add(what, None, "a heartbeat, or proof that it is gone");
        }
        for (group, holder) in self.roster.blocked(now) {
            let what = format!("group {group} has no live coordinator");
            let waiting_for =
                format!("proof that instance {} is gone, or its return", holder.instance);
            add(what, None, &waiting_for);
        }
        for (name, coordination) in &self.coordinated {
            let is_lost = |health: &Health| *health == Health::Lost;
            for (target, _) in coordination.health().iter().filter(|(_, health)| is_lost(health)) {
                add(format!("target {target} of {name} has no grant"), None, "the target");
            }
            let unowned = coordination.machine().waiting_for_proof();
            if unowned > 0 {
                let what = format!("{unowned} shards of {name} have no owner");
                add(
                    what,
                    Some(coordination.origin.claimed_at),
                    "proof that the former coordinator is gone",
                );
            }
            if coordination.lock_ledger().incomplete_until() > now {
                let missing: Vec<&str> = coordination
                    .history
                    .missing()
                    .into_iter()
                    .map(name::Instance::as_str)
                    .collect();
                let what = format!("the ledger of {name} may have gaps");
                add(what, Some(coordination.origin.claimed_at), &missing.join(", "));
            }
        }
        degradations
    }

    fn directory_json(&self, now: Stamp) -> Value {
        let own = self.coordinated.iter().map(|(group, coordination)| {
            json!({
                "group": group,
                "term": coordination.origin.term,
                "holder": self.context.me.process.instance,
                "peer_address": self.context.me.peer.to_string(),
                "admin_address": self.context.me.admin.to_string(),
                "age_ms": 0,
            })
        });
        let others = self.directory.rows().iter().filter(|(group, row)| {
            !self.coordinated.contains_key(*group) && row.holder != self.context.me.process
        });
        let others = others.map(|(group, row)| {
            json!({
                "group": group,
                "term": row.term,
                "holder": row.holder.instance,
                "peer_address": row.peer.to_string(),
                "admin_address": row.admin.to_string(),
                "age_ms": age_ms(row.confirmed_at, now),
            })
        });
        let members: Vec<Value> = self
            .directory
            .members()
            .map(|member| {
                json!({
                    "instance": member.process.instance,
                    "failure_domain": member.domain,
                    "admin_address": member.admin.to_string(),
                })
            })
            .collect();
        json!({ "rows": own.chain(others).collect::<Vec<_>>(), "members": members })
    }

    fn explain_key(&self, service: &str, key: &str, now: Stamp) -> Option<Value> {
        let plan = self.plan.as_ref()?;
        let name = name::Service::new(service);
        let group = plan.groups.iter().find(|group| group.service.name == name)?;
        let shard = shard::of_key(key.as_bytes(), group.service.shards);
        let group = plan.group_for_shard(&name, shard)?;
        let mut answer = json!({
            "service": service,
            "key": key,
            "shard": shard,
            "group": group.name,
            "age_ms": 0,
        });
        let fields = answer.as_object_mut()?;
        let Some(coordination) = self.coordinated.get(&group.name) else {
            let known = self.directory.row(&group.name);
            fields.insert("coordinator".into(), json!(known.map(|row| &row.holder.instance)));
            let address = known.map(|row| row.admin.to_string());
            fields.insert("coordinator_address".into(), json!(address));
            fields.insert("term".into(), json!(known.map(|row| row.term)));
            fields.insert("age_ms".into(), json!(known.map(|row| age_ms(row.confirmed_at, now))));
            return Some(answer);
        };
        let owner = coordination.machine().owner(shard);
        let changes: Vec<&crate::coordination::Change> =
            coordination.changes.iter().filter(|change| change.shard == shard).collect();
        let last = changes.last();
        let history: Vec<Value> = changes
            .iter()
            .rev()
            .map(|change| {
                json!({
                    "at_ms": age_ms(change.at, now),
                    "owner": change.owner,
                    "token": change.token.to_string(),
                    "reason": change.cause.as_str(),
                })
            })
            .collect();
        fields.insert("coordinator".into(), json!(self.context.me.process.instance));
        fields.insert("coordinator_address".into(), json!(self.context.me.admin.to_string()));
        fields.insert("term".into(), json!(coordination.origin.term));
        fields.insert("owner".into(), json!(owner.map(|(target, _)| target)));
        fields.insert("token".into(), json!(owner.map(|(_, token)| token.to_string())));
        fields.insert("since_ms".into(), json!(last.map(|change| age_ms(change.at, now))));
        fields.insert("decided_by".into(), json!(self.context.me.process.instance));
        fields.insert("reason".into(), json!(last.map(|change| change.cause.as_str())));
        fields.insert("changes".into(), json!(history));
        Some(answer)
    }
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Granted(grant::State::Cold) => "cold",
        Health::Granted(grant::State::Live) => "live",
        Health::Granted(grant::State::Draining) => "draining",
        Health::Lost => "lost",
    }
}

fn age_ms(then: Stamp, now: Stamp) -> u64 {
    u64::try_from(now.since(then).as_millis()).unwrap_or(u64::MAX)
}
