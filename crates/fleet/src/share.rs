//! Division of the targets of a service without keys among the instances of a large fleet.
//!
//! Each instance uses a subset of the targets, and may have a bounded number of requests in flight
//! at each of them. All instances compute the same division from the lists of instances and
//! targets, without messages. The sum of the limits at a target is its slots and a bounded queue,
//! connections are used often enough to be kept, and each target is seen often by its instances.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use caraway_core::time::Stamp;

use crate::admission;
use crate::load::Estimate;
use crate::membership::Incarnation;
use crate::membership::Target;
use crate::rendezvous;
use crate::rendezvous::Domains;

/// Requests per two slots that the limits of all instances allow at a target. Targets are known to
/// hold five requests per slot, the running one and four that wait, so the limits of instances with
/// two entirely different lists still fit.
const REQUESTS_PER_TWO_SLOTS: u32 = 5;

/// Divisor of the places of a target that gives the ones for instances of other failure domains.
/// Demand of a domain may exceed the mean by half for a while.
const RESERVE_DIVISOR: u32 = 3;

/// Limit of an instance at a target of its own domain, if the mean number of such targets of an
/// instance is at least [`MIN_OWN_TARGETS`] with it. With two, a burst does not spread to further
/// targets, which have no idle connection.
const OWN_LIMIT: u32 = 2;
const MIN_OWN_TARGETS: u32 = 5;

/// Bounds of the number of targets of an instance relative to the mean in its domain, in percent.
/// Closer bounds make each change of the lists affect more targets.
const MIN_SHARE_PERCENT: u32 = 75;
const MAX_SHARE_PERCENT: u32 = 125;

/// Number of targets outside of its share that an instance may use, with one request at a time and
/// only while they have free slots, when it can use none of its share.
const SPARE_TARGETS: usize = 2;

/// Fraction of the latency objective that a request may be expected to take at a target. Beyond it,
/// the request would be late and delay later ones.
const MAX_QUEUEING_SHARE: f64 = 0.8;

/// Minimum interval between comparisons of the lists with those that a share was computed from. A
/// division among a hundred instances after a change of one target takes 1 ms of a full core, which
/// small instances do not have, and the lists change many times a second while targets are replaced.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Right of an instance to have requests in flight at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Limit of the requests in flight.
    pub limit: u32,
    /// Number of instances that use the target regularly.
    pub users: usize,
    /// Whether the target may be used only while it has free slots and no other one can be used.
    pub spare: bool,
}

impl Place {
    /// Returns whether the instance may have another request in flight at the target, given its
    /// estimate of it, the latency objective in seconds and a service time in seconds that stands
    /// in for a missing measurement.
    pub fn has_room(
        &self,
        estimate: &Estimate,
        slots: u32,
        objective: f64,
        default_time: f64,
        now: Stamp,
    ) -> bool {
        let max = if self.spare { f64::from(slots.max(1)) } else { admission::max_requests(slots) };
        let part = objective * MAX_QUEUEING_SHARE;
        let limit = estimate.concurrency_limit(slots, part, default_time, now).min(max);
        estimate.in_flight < self.limit && estimate.occupancy(now) < limit
    }
}

/// Targets that one instance may use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Share {
    places: HashMap<Arc<str>, Place>,
}

impl Share {
    /// Returns the place at a target.
    pub fn place(&self, id: &str) -> Option<Place> {
        self.places.get(id).copied()
    }

    /// Returns all places by target id.
    pub fn places(&self) -> impl Iterator<Item = (&Arc<str>, Place)> {
        self.places.iter().map(|(id, place)| (id, *place))
    }

    /// Returns the sum of the limits at targets that are not spare ones.
    pub fn capacity(&self) -> u32 {
        self.places.values().filter(|place| !place.spare).map(|place| place.limit).sum()
    }
}

/// Returns whether the targets of a service are divided among this number of instances.
pub fn is_divided(targets: &[Arc<Target>], instances: usize) -> bool {
    let slots = targets.iter().map(|target| target.slots.max(1)).min();
    slots.is_some_and(|slots| admission::is_large(slots, instances))
}

/// Returns the number of requests that the limits of all instances allow at a target.
fn places(slots: u32) -> u32 {
    slots.max(1).saturating_mul(REQUESTS_PER_TWO_SLOTS) / 2
}

fn to_index(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

fn to_count(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Candidates for the reserve of a target, for each of its places and in addition. Most places go to
/// the first of them; further ones are considered only if these are at their limits.
const CANDIDATES_PER_PLACE: usize = 4;
const MIN_CANDIDATES: usize = 8;

/// Distances of all instances to targets, kept from one division to the next: the lists change
/// many times a second while targets are replaced, mostly by one entry.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    /// Names of the instances, in order.
    names: Vec<Arc<str>>,
    /// Distances by target, in the order of the names.
    rows: HashMap<Incarnation, Arc<[f64]>>,
}

/// Returns the distance between an instance and a target: the negative logarithm of the uniform
/// rendezvous weight. Divided by a number, the lowest one wins with a probability proportional to
/// that number.
fn distance(name: &str, incarnation: &Incarnation) -> f64 {
    let uniform = (rendezvous::weight(name, incarnation) as f64 + 1.0) / (u64::MAX as f64);
    -uniform.min(1.0).ln()
}

impl Distances {
    /// Adapts the distances to the lists.
    fn update(&mut self, targets: &[Arc<Target>], instances: &Domains) {
        if !self.names.iter().eq(instances.keys()) {
            let names: Vec<Arc<str>> = instances.keys().cloned().collect();
            let known: Vec<Option<usize>> =
                names.iter().map(|name| self.names.binary_search(name).ok()).collect();
            for (incarnation, row) in &mut self.rows {
                let value = |(name, index): (&Arc<str>, &Option<usize>)| {
                    let value = index.and_then(|index| row.get(index).copied());
                    value.unwrap_or_else(|| distance(name, incarnation))
                };
                *row = names.iter().zip(&known).map(value).collect();
            }
            self.names = names;
        }
        let mut rows = HashMap::with_capacity(targets.len());
        for target in targets {
            let incarnation = &target.incarnation;
            let compute = || {
                self.names.iter().map(|name| distance(name, incarnation)).collect::<Arc<[f64]>>()
            };
            let row = self.rows.remove(incarnation).unwrap_or_else(compute);
            rows.insert(incarnation.clone(), row);
        }
        self.rows = rows;
    }
}

/// A target while places are assigned.
struct Site<'a> {
    target: &'a Arc<Target>,
    /// Distances of the instances.
    distances: Arc<[f64]>,
    /// Places that are not assigned yet.
    free: u32,
    /// Indexes of the instances with a place, each with its limit.
    users: Vec<(usize, u32)>,
}

impl Site<'_> {
    fn is_used_by(&self, instance: usize) -> bool {
        self.users.iter().any(|(user, _)| *user == instance)
    }

    fn assign(&mut self, instance: usize, limit: u32) {
        self.free = self.free.saturating_sub(limit);
        self.users.push((instance, limit));
    }
}

/// Preference of an instance for the reserve of a target.
struct Score {
    /// Whether both are in the same failure domain, which has its places already.
    local: bool,
    distance: f64,
    instance: usize,
    site: usize,
}

impl Score {
    fn compare(&self, other: &Self) -> Ordering {
        let order = self.local.cmp(&other.local).then(self.distance.total_cmp(&other.distance));
        order.then((self.instance, self.site).cmp(&(other.instance, other.site)))
    }
}

/// Division of the targets of one service among all instances.
pub struct Division<'a> {
    names: Vec<&'a Arc<str>>,
    domains: Vec<&'a Arc<str>>,
    sites: Vec<Site<'a>>,
    /// Limit of an instance at a target of its own domain.
    own_limit: u32,
    /// Sum of the limits by instance.
    totals: Vec<u32>,
}

impl<'a> Division<'a> {
    /// Divides targets among instances. The result does not depend on the order of the targets.
    pub fn new(targets: &'a [Arc<Target>], instances: &'a Domains) -> Self {
        Self::with_distances(targets, instances, &mut Distances::default())
    }

    /// Divides targets among instances, with the distances of an earlier division.
    pub fn with_distances(
        targets: &'a [Arc<Target>],
        instances: &'a Domains,
        distances: &mut Distances,
    ) -> Self {
        distances.update(targets, instances);
        let count = to_count(instances.len()).max(1);
        let slots: u32 = targets.iter().map(|target| target.slots.max(1)).sum();
        let own = places(slots) / RESERVE_DIVISOR * (RESERVE_DIVISOR - 1);
        let own_limit = if own / OWN_LIMIT / count >= MIN_OWN_TARGETS { OWN_LIMIT } else { 1 };
        let mut sites: Vec<Site<'_>> = targets
            .iter()
            .map(|target| Site {
                target,
                distances: distances.rows.get(&target.incarnation).cloned().unwrap_or_default(),
                free: places(target.slots),
                users: Vec::new(),
            })
            .collect();
        sites.sort_by(|a, b| a.target.incarnation.cmp(&b.target.incarnation));
        let mut division = Self {
            names: instances.keys().collect(),
            domains: instances.values().collect(),
            sites,
            own_limit,
            totals: vec![0; instances.len()],
        };
        division.assign_within_domains();
        division.assign_reserves();
        division
    }

    fn distance(&self, instance: usize, site: usize) -> f64 {
        let row = self.sites.get(site).map(|site| &site.distances);
        row.and_then(|row| row.get(instance).copied()).unwrap_or(f64::INFINITY)
    }

    fn total(&self, instance: usize) -> u32 {
        self.totals.get(instance).copied().unwrap_or(0)
    }

    fn assign(&mut self, instance: usize, site: usize, limit: u32) {
        if let (Some(site), Some(total)) = (self.sites.get_mut(site), self.totals.get_mut(instance))
        {
            site.assign(instance, limit);
            *total += limit;
        }
    }

    /// Returns whether an instance may get a place at a target, which keeps the places of the
    /// reserve free.
    fn is_open(&self, instance: usize, site: usize) -> bool {
        self.sites.get(site).is_some_and(|site| {
            let assigned: u32 = site.users.iter().map(|(_, limit)| limit).sum();
            let reserve = (site.free + assigned) / RESERVE_DIVISOR;
            site.free >= reserve + self.own_limit && !site.is_used_by(instance)
        })
    }

    /// Assigns places to instances of the targets' own failure domains.
    fn assign_within_domains(&mut self) {
        let mut by_domain: BTreeMap<Arc<str>, (Vec<usize>, Vec<usize>)> = BTreeMap::new();
        for (instance, domain) in self.domains.iter().enumerate() {
            by_domain.entry((*domain).clone()).or_default().0.push(instance);
        }
        for (index, site) in self.sites.iter().enumerate() {
            by_domain.entry(site.target.domain.clone()).or_default().1.push(index);
        }
        for (instances, sites) in by_domain.into_values() {
            self.assign_within_domain(&instances, &sites);
        }
    }

    fn assign_within_domain(&mut self, instances: &[usize], sites: &[usize]) {
        let own = |site: &usize| {
            let free = self.sites.get(*site).map_or(0, |site| site.free);
            (free - free / RESERVE_DIVISOR) / self.own_limit
        };
        let users: u32 = sites.iter().map(own).sum();
        let count = to_count(instances.len()).max(1);
        let min = users.saturating_mul(MIN_SHARE_PERCENT) / 100 / count * self.own_limit;
        let max = users.saturating_mul(MAX_SHARE_PERCENT).div_ceil(100).div_ceil(count);
        let max = max * self.own_limit;
        let mut pairs: Vec<(f64, usize, usize)> = Vec::new();
        for instance in instances {
            let pair = |site: &usize| (self.distance(*instance, *site), *instance, *site);
            pairs.extend(sites.iter().map(pair));
        }
        // The lowest distances of all pairs come first, so the result does not depend on the order
        // in which instances or targets are visited, and a change affects few other pairs.
        pairs.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        for limit in [min, max] {
            for (_, instance, site) in &pairs {
                if self.total(*instance) < limit && self.is_open(*instance, *site) {
                    self.assign(*instance, *site, self.own_limit);
                }
            }
        }
    }

    /// Assigns the remaining places to instances of other failure domains, or of the same one if
    /// there are too few others. Instances with fewer places are preferred in proportion.
    fn assign_reserves(&mut self) {
        let places: u32 =
            self.totals.iter().sum::<u32>() + self.sites.iter().map(|site| site.free).sum::<u32>();
        let mean = places.div_ceil(to_count(self.names.len()).max(1));
        let deficits: Vec<f64> =
            self.totals.iter().map(|total| f64::from(mean.saturating_sub(*total).max(1))).collect();
        let min = mean.saturating_mul(MIN_SHARE_PERCENT) / 100;
        let max = mean.saturating_mul(MAX_SHARE_PERCENT).div_ceil(100);
        let mut nearest = Vec::new();
        for index in 0..self.sites.len() {
            let mut scores = self.scores(index, &deficits);
            let free = self.sites.get(index).map_or(0, |site| to_index(site.free));
            let count = free * CANDIDATES_PER_PLACE + MIN_CANDIDATES;
            if count < scores.len() {
                scores.select_nth_unstable_by(count, Score::compare);
                scores.truncate(count);
            }
            nearest.append(&mut scores);
        }
        nearest.sort_unstable_by(Score::compare);
        for limit in [min, max] {
            self.assign_reserve(&nearest, limit);
        }
        let left = (0..self.sites.len())
            .filter(|index| self.sites.get(*index).is_some_and(|site| site.free > 0));
        let mut others: Vec<Score> = left.flat_map(|index| self.scores(index, &deficits)).collect();
        others.sort_unstable_by(Score::compare);
        self.assign_reserve(&others, max);
    }

    /// Returns the scores of all instances at a target: the lowest one is preferred, in proportion
    /// to the places that an instance lacks.
    fn scores(&self, site: usize, deficits: &[f64]) -> Vec<Score> {
        let Some(target) = self.sites.get(site) else { return Vec::new() };
        let instances = target.distances.iter().zip(deficits).zip(&self.domains).enumerate();
        let score =
            |(instance, ((distance, deficit), domain)): (usize, ((&f64, &f64), &&Arc<str>))| {
                let local = **domain == target.target.domain;
                Score { local, distance: distance / deficit, instance, site }
            };
        instances.map(score).collect()
    }

    /// Assigns places of the reserve in the order of the scores to instances below a limit.
    fn assign_reserve(&mut self, scores: &[Score], limit: u32) {
        for Score { instance, site, .. } in scores {
            let open = self
                .sites
                .get(*site)
                .is_some_and(|site| site.free > 0 && !site.is_used_by(*instance));
            if open && self.total(*instance) < limit {
                self.assign(*instance, *site, 1);
            }
        }
    }

    /// Returns the share of an instance.
    pub fn share(&self, name: &str) -> Share {
        let Some(instance) = self.names.iter().position(|known| ***known == *name) else {
            return Share::default();
        };
        let mut share = Share::default();
        let mut others = Vec::new();
        for (index, site) in self.sites.iter().enumerate() {
            let id = &site.target.incarnation.id;
            let users = site.users.len();
            match site.users.iter().find(|(user, _)| *user == instance) {
                Some((_, limit)) => {
                    share.places.insert(id.clone(), Place { limit: *limit, users, spare: false });
                }
                None => others.push((self.distance(instance, index), id, users)),
            }
        }
        others.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        for (_, id, users) in others.into_iter().take(SPARE_TARGETS) {
            share.places.insert(id.clone(), Place { limit: 1, users, spare: true });
        }
        share
    }
}

/// Share of this instance in one service, with the lists that it was computed from.
#[derive(Clone, Debug, Default)]
struct Computed {
    checked: Stamp,
    targets: Vec<Arc<Target>>,
    instances: Domains,
    distances: Distances,
    share: Option<Arc<Share>>,
}

/// Shares of this instance by service, computed when the lists change.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    services: HashMap<Arc<str>, Computed>,
}

impl Shares {
    /// Returns the share of the instance `name` in a service, or `None` if the targets of the
    /// service are not divided. `lists` returns the targets in use and the known instances.
    pub fn get(
        &mut self,
        service: &Arc<str>,
        name: &str,
        lists: impl FnOnce() -> (Vec<Arc<Target>>, Domains),
        now: Stamp,
    ) -> Option<Arc<Share>> {
        let computed = self.services.entry(service.clone()).or_default();
        if computed.checked != Stamp::default() && now.since(computed.checked) < REFRESH_INTERVAL {
            return computed.share.clone();
        }
        computed.checked = now;
        let (mut targets, instances) = lists();
        targets.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        if !is_same(&computed.targets, &targets) || computed.instances != instances {
            let divided = is_divided(&targets, instances.len());
            let distances = &mut computed.distances;
            computed.share = divided.then(|| {
                let division = Division::with_distances(&targets, &instances, distances);
                Arc::new(division.share(name))
            });
            computed.targets = targets;
            computed.instances = instances;
        }
        computed.share.clone()
    }

    /// Returns whether the targets of a service were divided when its share was last computed.
    pub fn is_divided(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|computed| computed.share.is_some())
    }

    /// Returns the limit of the idle connections that this instance keeps to a target which accepts
    /// `accepted` connections, or `None` if the targets of its service are not divided.
    pub fn idle_connections(&self, target: &Target, accepted: usize) -> Option<usize> {
        let share = self.services.get(&target.service)?.share.as_ref()?;
        let place = share.place(&target.incarnation.id);
        Some(place.map_or(0, |place| {
            admission::idle_connections(accepted, place.users).min(to_index(place.limit))
        }))
    }
}

/// Returns whether two sorted lists of targets lead to the same division.
fn is_same(a: &[Arc<Target>], b: &[Arc<Target>]) -> bool {
    let same = |(a, b): (&Arc<Target>, &Arc<Target>)| {
        a.incarnation == b.incarnation && a.domain == b.domain && a.slots == b.slots
    };
    a.len() == b.len() && a.iter().zip(b).all(same)
}
