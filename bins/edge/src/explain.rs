//! Explanation of where a request would be sent now, for operators.
//!
//! This mirrors the selection of a target, but only reads the state: whatever decides by counting,
//! such as admission control, is asked on a copy. What depends on the body or the caller of a
//! request, such as the quarantine, is not considered.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use serde_json::json;

use caraway_core::time::Clock;
use caraway_core::time::Stamp;
use caraway_core::time::millis;
use caraway_fleet::admission;
use caraway_fleet::configuration::Configuration;
use caraway_fleet::configuration::Route;
use caraway_fleet::load::Admission;
use caraway_fleet::load::Estimate;
use caraway_fleet::membership::Member;
use caraway_fleet::membership::Target;
use caraway_fleet::pause;
use caraway_fleet::refusal::Room;
use caraway_fleet::share::Place;
use caraway_fleet::share::Share;

use crate::forward::DEFAULT_SERVICE_TIME;
use crate::reason::Reason;
use crate::state::State;

/// Path of explanations at the listener for metrics.
pub const PATH: &str = "/explain";

/// Returns the explanation that a query string asks for.
pub fn explain(state: &State, query: &str) -> (StatusCode, Value) {
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, text) = pairs.find(|(key, _)| *key == name)?;
        Some(percent_decode_str(text).decode_utf8_lossy().into_owned())
    };
    let (Some(host), Some(path)) = (parameter("host"), parameter("path")) else {
        return (StatusCode::BAD_REQUEST, json!({ "problem": "host or path is missing" }));
    };
    let Ok(key) = parameter("key").map(|text| text.parse::<u16>()).transpose() else {
        let problem = "the key is not a number from 0 to 65535";
        return (StatusCode::BAD_REQUEST, json!({ "problem": problem }));
    };
    let mut answer = json!({
        "instance": state.settings.name, "configuration": state.version(), "host": host,
        "path": path, "key": key, "route": null, "services": [], "refusal": null,
    });
    let Some(configuration) = state.configuration() else {
        let refusal = Refusal::new(Reason::NoConfiguration);
        insert(&mut answer, "refusal", refusal.json(millis(refusal.reason.retry_after())));
        return (StatusCode::OK, answer);
    };
    let Some(route) = configuration.route(&host, &path) else {
        let status = StatusCode::NOT_FOUND.as_u16();
        insert(
            &mut answer,
            "refusal",
            json!({ "status": status, "reason": "no route", "retry_after_ms": null }),
        );
        return (StatusCode::OK, answer);
    };
    insert(
        &mut answer,
        "route",
        json!({
            "name": route.name, "prefix": route.prefix, "repeatable": route.repeatable,
            "rank": route.rank, "timeout_ms": millis(route.timeout),
            "objective_ms": millis(route.latency_objective),
        }),
    );
    let total = route.splits.iter().map(|split| split.weight).sum::<u64>().max(1);
    let services = route.splits.iter().map(|split| {
        let query = Query::new(state, &configuration, route, &split.service);
        let mut service = match key.filter(|_| query.keyed) {
            Some(key) => query.explain_owner(key),
            None => query.explain_targets(),
        };
        insert(&mut service, "name", json!(split.service));
        insert(&mut service, "keyed", json!(query.keyed));
        insert(&mut service, "share_percent", json!(split.weight as f64 * 100.0 / total as f64));
        service
    });
    insert(&mut answer, "services", services.collect());
    (StatusCode::OK, answer)
}

fn insert(object: &mut Value, name: &str, value: Value) {
    if let Some(fields) = object.as_object_mut() {
        fields.insert(name.to_owned(), value);
    }
}

/// Refusal of a request.
struct Refusal {
    reason: Reason,
    /// End of the pause or of the interval without requests to a cold target, for these reasons.
    end: Option<Stamp>,
    /// Whether the request may wait for a while before it is refused.
    waits: bool,
}

impl Refusal {
    fn new(reason: Reason) -> Self {
        Self { reason, end: None, waits: false }
    }

    fn until(reason: Reason, end: Stamp) -> Self {
        Self { reason, end: Some(end), waits: false }
    }

    fn after_wait(reason: Reason) -> Self {
        Self { reason, end: None, waits: true }
    }

    fn json(&self, retry_after_ms: u64) -> Value {
        json!({
            "status": StatusCode::SERVICE_UNAVAILABLE.as_u16(), "reason": self.reason.as_str(),
            "retry_after_ms": retry_after_ms, "may_wait": self.waits,
        })
    }
}

/// Role of a target of a service without keys, in the order in which targets are preferred.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Role {
    Usable,
    Spare,
    Ejected,
    Leaving,
    Evacuated,
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::Spare => "spare",
            Self::Ejected => "ejected",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
        }
    }
}

/// A request to one service.
struct Query<'a> {
    state: &'a State,
    route: &'a Route,
    service: &'a Arc<str>,
    keyed: bool,
    urgent: bool,
    share: Option<Arc<Share>>,
    now: Stamp,
}

impl<'a> Query<'a> {
    fn new(
        state: &'a State,
        configuration: &Configuration,
        route: &'a Route,
        service: &'a Arc<str>,
    ) -> Self {
        let (settings, now) = (configuration.services.get(service), Clock.now());
        Self {
            state,
            route,
            service,
            keyed: settings.is_some_and(|service| service.keyed),
            urgent: settings.is_some_and(|service| route.rank < service.least_urgent_rank),
            share: state.preview_share(service, now),
            now,
        }
    }

    fn estimate(&self, target: &Target) -> Estimate {
        let estimates = self.state.estimates.borrow();
        estimates.get(&target.incarnation.id).cloned().unwrap_or_default()
    }

    fn expected_time(&self, target: &Target) -> f64 {
        self.estimate(target).expected_time(target.slots, DEFAULT_SERVICE_TIME, self.now)
    }

    fn place(&self, target: &Target) -> Option<Place> {
        self.share.as_ref()?.place(&target.incarnation.id)
    }

    /// Returns when a target that is paused or cold may get the request, if it may not now.
    fn hold(&self, target: &Target) -> Option<(Reason, Stamp)> {
        let paused =
            self.state.pauses.borrow().next(&target.incarnation, self.route.repeatable, self.now);
        paused.map(|end| (Reason::Paused, end)).or_else(|| self.cold_until(target))
    }

    fn cold_until(&self, target: &Target) -> Option<(Reason, Stamp)> {
        let limit = self.state.warmup_limit(self.service)?;
        let end = self.state.preview_warmup(target, limit, self.now).err()?;
        Some((Reason::WarmingUp, end))
    }

    fn is_silent(&self, estimate: &Estimate) -> bool {
        estimate.is_silent(self.now) && !(self.route.repeatable && estimate.may_probe(self.now))
    }

    /// Returns the limit of requests of this instance in flight at a target of a service without
    /// keys, and whether there is room for one.
    fn room_at(&self, target: &Target, place: Option<Place>) -> (u32, bool) {
        let (estimate, slots) = (self.estimate(target), target.slots);
        if let Some(place) = place {
            let objective = self.route.latency_objective.as_secs_f64();
            let room = place.has_room(&estimate, slots, objective, DEFAULT_SERVICE_TIME, self.now);
            return (place.limit, room);
        }
        let limit = admission::in_flight_limit(slots, self.state.instances.borrow().len());
        let free = admission::has_room(estimate.occupancy(self.now), slots);
        (limit, estimate.in_flight < limit && free)
    }

    /// Returns the role of a target of a service without keys, or why it gets no request.
    fn role(&self, member: &Member) -> Result<Role, (&'static str, Refusal)> {
        let (state, now, target) = (self.state, self.now, &member.target);
        let evacuated = state.evacuations.borrow().is_evacuated(&target.domain);
        let leaving = member.draining_since.is_some();
        if state.is_drained(member, now) {
            return Err(("leaving", Refusal::new(Reason::NoTarget)));
        }
        if state.is_barred(member, now) {
            return Err(("evacuated", Refusal::new(Reason::Evacuated)));
        }
        let place = self.place(target);
        if self.share.is_some() && place.is_none() && !leaving {
            return Err(("not in the share", Refusal::new(Reason::NoTarget)));
        }
        if let Some((reason, end)) = self.hold(target) {
            let text = if reason == Reason::Paused { "paused" } else { "cold" };
            return Err((text, Refusal::until(reason, end)));
        }
        let estimate = self.estimate(target);
        if self.is_silent(&estimate) {
            return Err(("silent", Refusal::new(Reason::Silent)));
        }
        let (_, has_room) = self.room_at(target, place);
        let role = match (evacuated, leaving) {
            (true, _) => Role::Evacuated,
            (false, true) => return Ok(Role::Leaving),
            (false, false) if !estimate.is_reachable(now) => return Ok(Role::Ejected),
            (false, false) if place.is_some_and(|place| place.spare) => Role::Spare,
            (false, false) => Role::Usable,
        };
        // A full target of an evacuated domain does not make requests wait.
        let full = if evacuated { Reason::NoTarget } else { Reason::InFlightLimit };
        if has_room { Ok(role) } else { Err(("full", Refusal::new(full))) }
    }

    fn describe(&self, target: &Target, place: Option<Place>) -> Value {
        json!({
            "target": target.incarnation.id, "domain": target.domain,
            "place": place.map(|place| if place.spare { "spare" } else { "share" }),
            "limit": self.room_at(target, place).0, "in_flight": self.estimate(target).in_flight,
            "expected_ms": (self.expected_time(target) * 1000.0).round(),
        })
    }

    /// Explains a service whose targets can all serve the request.
    fn explain_targets(&self) -> Value {
        let registry = self.state.registry.borrow();
        let mut members: Vec<&Member> =
            registry.members().filter(|member| member.target.service == *self.service).collect();
        members.sort_by(|a, b| a.target.incarnation.cmp(&b.target.incarnation));
        let roles: Vec<_> = members.iter().map(|member| (*member, self.role(member))).collect();
        let best = roles.iter().filter_map(|(_, role)| role.as_ref().ok()).min().copied();
        // Targets that are full are waited for rather than replaced by less preferred ones.
        let must_wait = roles.iter().any(|(member, role)| {
            let full = role.as_ref().is_err_and(|(_, r)| r.reason == Reason::InFlightLimit);
            let spare = self.place(&member.target).is_some_and(|place| place.spare);
            let instead = if spare { Role::Spare } else { Role::Usable };
            full && best.is_none_or(|best| best > instead)
        });
        let may_send = self
            .state
            .classes
            .borrow()
            .get(self.service)
            .is_none_or(|classes| classes.may_send(self.urgent, self.now));
        let (mut candidates, mut others, mut times) = (Vec::new(), Vec::new(), Vec::new());
        for (member, role) in &roles {
            let target = &member.target;
            let mut row = self.describe(target, self.place(target));
            match role {
                Ok(role) if Some(*role) == best && !must_wait => {
                    insert(&mut row, "state", json!(role.as_str()));
                    times.push(self.expected_time(target));
                    candidates.push(row);
                }
                Ok(role) => {
                    insert(&mut row, "reason", json!(role.as_str()));
                    others.push(row);
                }
                Err((reason, _)) => {
                    insert(&mut row, "reason", json!(reason));
                    others.push(row);
                }
            }
        }
        // A request whose expected time is this much above its limit is refused at once.
        let limit = self.route.timeout.as_secs_f64() / 0.7;
        let refusal = if must_wait || !may_send {
            Some(Refusal::after_wait(Reason::InFlightLimit))
        } else if candidates.is_empty() {
            Some(combine(roles.into_iter().filter_map(|(_, role)| Some(role.err()?.1))))
        } else {
            times.iter().all(|time| *time > limit).then(|| Refusal::new(Reason::Overloaded))
        };
        let refusal = refusal.map(|refusal| self.refusal(&refusal, None));
        json!({ "candidates": candidates, "others": others, "refusal": refusal })
    }

    /// Explains a service whose target is the owner of the key.
    fn explain_owner(&self, key: u16) -> Value {
        let (view, registry) = (self.state.view.borrow(), self.state.registry.borrow());
        let version = format!("{}.{}", view.version.term.number, view.version.change);
        let found = view.services.get(self.service).and_then(|owners| owners.find(key));
        let member = found.and_then(|(incarnation, _)| {
            registry.get(&incarnation.id).filter(|member| member.target.incarnation == *incarnation)
        });
        let owner = found.map(|(incarnation, confirmed)| {
            let mut row = member.map_or(json!({ "target": incarnation.id }), |member| {
                let target = &member.target;
                let mut row = self.describe(target, None);
                let evacuated = self.state.evacuations.borrow().is_evacuated(&target.domain);
                insert(&mut row, "evacuated", json!(evacuated));
                insert(&mut row, "leaving", json!(member.draining_since.is_some()));
                row
            });
            insert(&mut row, "confirmed", json!(confirmed));
            insert(&mut row, "listed", json!(member.is_some()));
            row
        });
        let serving = member.filter(|member| {
            found.is_some_and(|(_, confirmed)| confirmed) && !self.state.is_barred(member, self.now)
        });
        let refusal = match serving {
            None => Some(Refusal::after_wait(Reason::NoOwner)),
            Some(member) => self.owner_refusal(&member.target),
        };
        let target = serving.map(|member| &*member.target);
        let refusal = refusal.map(|refusal| self.refusal(&refusal, target));
        json!({ "owner": owner, "owners_version": version, "refusal": refusal })
    }

    /// Returns the refusal of a request for a key of an owner, if it would be refused.
    fn owner_refusal(&self, target: &Target) -> Option<Refusal> {
        let now = self.now;
        let mut estimate = self.estimate(target);
        let paused =
            self.state.pauses.borrow().next(&target.incarnation, self.route.repeatable, now);
        if let Some(end) = paused {
            return Some(Refusal::until(Reason::Paused, end));
        }
        if !estimate.is_usable_as_owner(now) {
            return Some(Refusal::new(Reason::OwnerUnreachable));
        }
        if self.is_silent(&estimate) {
            return Some(Refusal::new(Reason::Silent));
        }
        if self.expected_time(target) > self.route.timeout.as_secs_f64() {
            return Some(Refusal::new(Reason::Overloaded));
        }
        let unthrottled = estimate.is_unthrottled(now);
        // The estimate is a copy, so this takes no credit. The phase is the mean one.
        let admission = if self.urgent { Admission::Admitted } else { estimate.admit(0.5, now) };
        match admission {
            Admission::Admitted => {}
            Admission::Throttled => return Some(Refusal::new(Reason::Throttled)),
            Admission::BackedOff => return Some(Refusal::new(Reason::BackedOff)),
        }
        let (slots, instances) = (target.slots, self.state.instances.borrow().len());
        if !estimate.has_room_as_owner(slots, instances, self.urgent, now) {
            if estimate.is_full_owner(slots, instances, now) {
                return Some(Refusal::new(Reason::InFlightLimit));
            }
            if !(unthrottled && admission::has_room(estimate.occupancy(now), slots)) {
                return Some(Refusal::after_wait(Reason::InFlightLimit));
            }
        }
        self.cold_until(target).map(|(reason, end)| Refusal::until(reason, end))
    }

    /// Returns a refusal with the longest `Retry-After` that it would have now.
    fn refusal(&self, refusal: &Refusal, owner: Option<&Target>) -> Value {
        let room_delay = || {
            let room = self.room(owner)?;
            let name = owner.map_or(self.service, |owner| &owner.incarnation.id);
            let callers = self.state.callers.borrow().get(name).cloned();
            // The copy takes no place in the queue of callers that are expected back.
            Some(callers.unwrap_or_default().return_delay(room, self.route.timeout, 1.0, self.now))
        };
        let delay = match refusal.end {
            Some(end) => pause::return_delay(end, self.now, 1.0),
            None if refusal.reason.is_lack_of_room() => {
                room_delay().unwrap_or(refusal.reason.retry_after())
            }
            None => refusal.reason.retry_after(),
        };
        refusal.json(millis(delay))
    }

    /// Returns the room that becomes free for requests of this instance.
    fn room(&self, owner: Option<&Target>) -> Option<Room> {
        if let Some(owner) = owner {
            let instances = self.state.instances.borrow().len();
            let estimate = self.estimate(owner);
            return Some(estimate.room_as_owner(
                owner.slots,
                instances,
                DEFAULT_SERVICE_TIME,
                self.now,
            ));
        }
        let registry = self.state.registry.borrow();
        let (mut in_flight, mut time) = (0.0, 0.0);
        for member in registry.members().filter(|m| m.target.service == *self.service) {
            let id = &member.target.incarnation.id;
            if self.share.as_ref().is_none_or(|share| share.place(id).is_some()) {
                let count = f64::from(self.estimate(&member.target).in_flight);
                in_flight += count;
                time += count * self.expected_time(&member.target);
            }
        }
        let rate = (in_flight > 0.0).then(|| in_flight * in_flight / time.max(1e-3))?;
        Some(Room { first: Duration::from_secs_f64(1.0 / rate), rate })
    }
}

/// Returns the refusal of a request whose targets all get no requests, for the given reasons.
fn combine(refusals: impl Iterator<Item = Refusal>) -> Refusal {
    let (mut held, mut evacuated, mut silent) = (None::<Refusal>, false, false);
    for refusal in refusals {
        evacuated |= refusal.reason == Reason::Evacuated;
        silent |= refusal.reason == Reason::Silent;
        if refusal.end.is_some() && held.as_ref().is_none_or(|first| refusal.end < first.end) {
            held = Some(refusal);
        }
    }
    let reason = match (evacuated, silent) {
        (true, _) => Reason::Evacuated,
        (false, true) => Reason::Silent,
        (false, false) => Reason::NoTarget,
    };
    held.unwrap_or_else(|| Refusal::new(reason))
}
