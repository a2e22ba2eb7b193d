//! Rendezvous hashing: the instances that may use a target, agreed without messages.
//!
//! Instances that know the same list of instances select the same ones for a target. A change of
//! the list changes the selection only for the targets that it concerns.

use std::collections::BTreeMap;
use std::sync::Arc;

use caraway_core::shard;

use crate::membership::Incarnation;

/// Failure domains of the known instances by name.
pub type Domains = BTreeMap<Arc<str>, Arc<str>>;

/// Returns the weight of an instance for a target. Weights are part of the protocol between
/// instances: different versions must compute the same ones.
pub fn weight(instance: &str, incarnation: &Incarnation) -> u64 {
    let mut bytes = Vec::with_capacity(instance.len() + incarnation.id.len() + 9);
    bytes.extend_from_slice(instance.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(incarnation.id.as_bytes());
    bytes.extend_from_slice(&incarnation.born.to_be_bytes());
    shard::hash(&bytes)
}

/// Returns the `count` instances with the highest weights for a target, those of its own failure
/// domain before all others.
pub fn select<'a>(
    incarnation: &Incarnation,
    domain: &str,
    instances: &'a Domains,
    count: usize,
) -> Vec<&'a Arc<str>> {
    let mut ranked: Vec<(bool, u64, &Arc<str>)> = instances
        .iter()
        .map(|(name, place)| (**place == *domain, weight(name, incarnation), name))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, _, name)| name).collect()
}

/// Returns whether [`select`] includes a given instance. Computes only the weights that matter.
pub fn is_selected(
    name: &Arc<str>,
    incarnation: &Incarnation,
    domain: &str,
    instances: &Domains,
    count: usize,
) -> bool {
    let Some(own) = instances.get(name) else { return false };
    let local = **own == *domain;
    let before =
        if local { 0 } else { instances.values().filter(|place| ***place == *domain).count() };
    if before >= count {
        return false;
    }
    let own = (weight(name, incarnation), name);
    let peers = instances.iter().filter(|(_, place)| (***place == *domain) == local);
    let ahead = peers.filter(|(other, _)| (weight(other, incarnation), *other) > own).count();
    before + ahead < count
}
