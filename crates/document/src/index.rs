//! Formation of groups and the tables that answer the lookups of the data path.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

use caraway_core::name;
use caraway_core::shard::Shard;

use crate::plan::Group;
use crate::plan::Route;
use crate::plan::Service;
use crate::plan::Target;
use crate::schema;

/// Largest number of targets of a group.
pub const MAX_GROUP_TARGETS: usize = 16;

/// Lookup tables of a plan. Positions refer to the plan's lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Index {
    /// Positions of the groups of a service that have shards, in the order of their shards.
    services: HashMap<name::Service, Vec<usize>>,
    /// Position of a group.
    groups: HashMap<name::Group, usize>,
    /// Position of a route, by method and prefix.
    routes: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    /// Length of the longest prefix in bytes, which bounds the work of a lookup.
    prefix_bytes: usize,
}

impl Index {
    /// Makes the index of the groups and routes of a plan.
    pub fn new(groups: &[Arc<Group>], routes: &[Route]) -> Self {
        let mut index = Self::default();
        for (position, group) in groups.iter().enumerate() {
            index.groups.insert(group.name.clone(), position);
            if !group.shards.is_empty() {
                index.services.entry(group.service.name.clone()).or_default().push(position);
            }
        }
        for positions in index.services.values_mut() {
            positions.sort_by_key(|at| groups.get(*at).map(|group| group.shards.start));
        }
        for (position, route) in routes.iter().enumerate() {
            let prefixes = index.routes.entry(route.method.clone()).or_default();
            prefixes.insert(route.prefix.clone(), position);
            index.prefix_bytes = index.prefix_bytes.max(route.prefix.len());
        }
        index
    }

    /// Returns the position of a group.
    pub fn group(&self, name: &name::Group) -> Option<usize> {
        self.groups.get(name).copied()
    }

    /// Returns the position of the group that holds a shard.
    pub fn group_for_shard(
        &self,
        groups: &[Arc<Group>],
        service: &name::Service,
        shard: Shard,
    ) -> Option<usize> {
        let positions = self.services.get(service)?;
        let ends_before =
            |at: &usize| groups.get(*at).is_some_and(|group| group.shards.end <= shard.0);
        let position = *positions.get(positions.partition_point(ends_before))?;
        groups.get(position)?.shards.contains(&shard.0).then_some(position)
    }

    /// Returns the position of the route with the longest matching prefix after which a key follows,
    /// and the key.
    pub fn route<'a>(&self, method: &str, path: &'a str) -> Option<(usize, &'a str)> {
        let prefixes = self.routes.get(method)?;
        let bytes = path.as_bytes();
        let start = bytes.len().min(self.prefix_bytes);
        let ends = (0..start).rev().filter(|at| bytes.get(*at) == Some(&b'/')).map(|at| at + 1);
        for end in ends {
            let Some((prefix, rest)) = path.split_at_checked(end) else { continue };
            let key = rest.split('/').next().unwrap_or(rest);
            if key.is_empty() {
                continue;
            }
            if let Some(position) = prefixes.get(prefix) {
                return Some((*position, key));
            }
        }
        None
    }
}

/// Forms the groups of a service: the targets of each domain in document order, at most
/// [`MAX_GROUP_TARGETS`] in a group. A group has the shards of the stated placement, none if it is not listed
/// there; without a placement, shards are divided in proportion to the number of targets.
pub fn form(
    service: &Arc<Service>,
    source: &schema::Service,
    domains: &[name::Domain],
) -> Vec<Arc<Group>> {
    let targets = &source.targets;
    let all = targets.len();
    let mut groups = Vec::new();
    let mut before = 0;
    for domain in domains {
        let of_domain: Vec<Target> = targets
            .iter()
            .filter(|target| target.failure_domain == *domain)
            .map(|target| Target { name: target.name.clone(), address: target.address })
            .collect();
        for (number, part) in of_domain.chunks(MAX_GROUP_TARGETS).enumerate() {
            let after = before + part.len();
            let name = name::Group::new(&format!("{}/{domain}/{number}", service.name));
            let shards = match &source.placement {
                Some(placement) => placed(placement, &name),
                None => boundary(service.shards, before, all)..boundary(service.shards, after, all),
            };
            groups.push(Arc::new(Group {
                name,
                service: Arc::clone(service),
                domain: domain.clone(),
                shards,
                targets: part.to_vec(),
            }));
            before = after;
        }
    }
    groups
}

/// Returns the shards of a group in a stated placement.
fn placed(placement: &[schema::Placement], group: &name::Group) -> Range<u32> {
    let row = placement.iter().find(|row| row.group == *group);
    row.map_or(0..0, |row| row.first..row.last.saturating_add(1))
}

/// Returns the first shard after the share of `targets` of `all` targets.
fn boundary(shards: u32, targets: usize, all: usize) -> u32 {
    let targets = u64::try_from(targets).unwrap_or(u64::MAX);
    let all = u64::try_from(all).unwrap_or(u64::MAX).max(1);
    let boundary = u64::from(shards).saturating_mul(targets) / all;
    u32::try_from(boundary).unwrap_or(shards)
}
