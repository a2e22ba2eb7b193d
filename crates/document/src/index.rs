//! Assignment of targets to groups, and the lookup tables for groups and routes.

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

/// Maximum number of targets in a group.
pub const MAX_GROUP_TARGETS: usize = 16;

/// Lookup tables of a plan. The values are indices into the plan's lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Index {
    /// Indices of the groups with shards of each service, in shard order.
    groups_by_service: HashMap<name::Service, Vec<usize>>,
    groups_by_name: HashMap<name::Group, usize>,
    /// Indices of the routes by method, then by prefix.
    routes_by_method: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    /// Length of the longest prefix in bytes, which bounds the cost of a lookup.
    longest_prefix_bytes: usize,
}

impl Index {
    /// Builds the index of the groups and routes of a plan.
    pub fn new(groups: &[Arc<Group>], routes: &[Route]) -> Self {
        let mut index = Self::default();
        for (position, group) in groups.iter().enumerate() {
            index.groups_by_name.insert(group.name.clone(), position);
            if !group.shards.is_empty() {
                index
                    .groups_by_service
                    .entry(group.service.name.clone())
                    .or_default()
                    .push(position);
            }
        }
        for positions in index.groups_by_service.values_mut() {
            positions.sort_by_key(|position| groups.get(*position).map(|group| group.shards.start));
        }
        for (position, route) in routes.iter().enumerate() {
            let prefixes = index.routes_by_method.entry(route.method.clone()).or_default();
            prefixes.insert(route.prefix.clone(), position);
            index.longest_prefix_bytes = index.longest_prefix_bytes.max(route.prefix.len());
        }
        index
    }

    /// Returns the position of the group with the given name.
    pub fn group(&self, name: &name::Group) -> Option<usize> {
        self.groups_by_name.get(name).copied()
    }

    /// Returns the position of the group that contains a shard.
    pub fn group_for_shard(
        &self,
        groups: &[Arc<Group>],
        service: &name::Service,
        shard: Shard,
    ) -> Option<usize> {
        let positions = self.groups_by_service.get(service)?;
        let ends_before = |position: &usize| {
            groups.get(*position).is_some_and(|group| group.shards.end <= shard.0)
        };
        let position = *positions.get(positions.partition_point(ends_before))?;
        groups.get(position)?.shards.contains(&shard.0).then_some(position)
    }

    /// Returns the position of the route with the longest matching prefix that is followed by a
    /// non-empty key, and the key.
    pub fn route<'a>(&self, method: &str, path: &'a str) -> Option<(usize, &'a str)> {
        let prefixes = self.routes_by_method.get(method)?;
        let bytes = path.as_bytes();
        let max_end = bytes.len().min(self.longest_prefix_bytes);
        let prefix_ends = (0..max_end)
            .rev()
            .filter(|slash| bytes.get(*slash) == Some(&b'/'))
            .map(|slash| slash + 1);
        for end in prefix_ends {
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

/// Forms the groups of a service from the targets of each domain in document order, with at most
/// [`MAX_GROUP_TARGETS`] targets per group.
///
/// With an explicit placement, a group has the shards listed there, and none if it is not listed.
/// Otherwise the shards are divided in proportion to the number of targets.
pub fn form_groups(
    service: &Arc<Service>,
    source: &schema::Service,
    domains: &[name::Domain],
) -> Vec<Arc<Group>> {
    let targets = &source.targets;
    let total = targets.len();
    let mut groups = Vec::new();
    let mut targets_before = 0;
    for domain in domains {
        let domain_targets: Vec<Target> = targets
            .iter()
            .filter(|target| target.failure_domain == *domain)
            .map(|target| Target { name: target.name.clone(), address: target.address })
            .collect();
        for (number, members) in domain_targets.chunks(MAX_GROUP_TARGETS).enumerate() {
            let targets_after = targets_before + members.len();
            let name = name::Group::new(&format!("{}/{domain}/{number}", service.name));
            let shards = match &source.placement {
                Some(placement) => placed_shards(placement, &name),
                None => {
                    shard_boundary(service.shards, targets_before, total)
                        ..shard_boundary(service.shards, targets_after, total)
                }
            };
            groups.push(Arc::new(Group {
                name,
                service: Arc::clone(service),
                domain: domain.clone(),
                shards,
                targets: members.to_vec(),
            }));
            targets_before = targets_after;
        }
    }
    groups
}

/// Returns the shards of a group in an explicit placement.
fn placed_shards(placement: &[schema::Placement], group: &name::Group) -> Range<u32> {
    let row = placement.iter().find(|row| row.group == *group);
    row.map_or(0..0, |row| row.first..row.last.saturating_add(1))
}

/// Returns the end of the shard range of the first `targets` of `total` targets.
fn shard_boundary(shards: u32, targets: usize, total: usize) -> u32 {
    let targets = u64::try_from(targets).unwrap_or(u64::MAX);
    let total = u64::try_from(total).unwrap_or(u64::MAX).max(1);
    let boundary = u64::from(shards).saturating_mul(targets) / total;
    u32::try_from(boundary).unwrap_or(shards)
}
