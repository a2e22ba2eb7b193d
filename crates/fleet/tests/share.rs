//! Division of the targets of a service without keys among the instances of a large fleet.

// The lint settings allow these in test functions; this extends them to the helpers beside them.
#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use caraway_core::time::Stamp;
use caraway_fleet::membership::Incarnation;
use caraway_fleet::membership::Target;
use caraway_fleet::rendezvous::Domains;
use caraway_fleet::share::Division;
use caraway_fleet::share::Share;
use caraway_fleet::share::Shares;
use caraway_fleet::share::is_divided;

/// Requests per slot that targets are known to hold: the running one and a queue of four.
const ROOM_PER_SLOT: u32 = 5;

fn target(index: usize, domain: usize, slots: u32) -> Arc<Target> {
    Arc::new(Target {
        incarnation: Incarnation { id: format!("target-{index}").into(), born: 1 },
        address: "127.0.0.1:80".parse().unwrap(),
        domain: format!("domain-{domain}").into(),
        service: "service".into(),
        slots,
        draining: false,
        warmup: Duration::ZERO,
    })
}

fn targets(counts: &[usize], slots: u32) -> Vec<Arc<Target>> {
    let domains = counts.iter().enumerate().flat_map(|(d, count)| std::iter::repeat_n(d, *count));
    domains.enumerate().map(|(index, domain)| target(index, domain, slots)).collect()
}

fn instances(counts: &[usize]) -> Domains {
    let domains = counts.iter().enumerate().flat_map(|(d, count)| std::iter::repeat_n(d, *count));
    domains
        .enumerate()
        .map(|(index, d)| (format!("edge-{index}").into(), format!("domain-{d}").into()))
        .collect()
}

type Limits = HashMap<(Arc<str>, Arc<str>), u32>;

/// Returns the limits by target and instance, without spare places.
fn limits(targets: &[Arc<Target>], instances: &Domains) -> Limits {
    let division = Division::new(targets, instances);
    let mut limits = HashMap::new();
    for name in instances.keys() {
        for (id, place) in division.share(name).places().filter(|(_, place)| !place.spare) {
            limits.insert((id.clone(), name.clone()), place.limit);
        }
    }
    limits
}

fn sums(limits: &Limits) -> HashMap<Arc<str>, u32> {
    let mut sums = HashMap::new();
    for ((id, _), limit) in limits {
        *sums.entry(id.clone()).or_default() += limit;
    }
    sums
}

/// Returns the limits of instances of which some use the one and some the other division.
fn union(a: &Limits, b: &Limits) -> Limits {
    let mut union = a.clone();
    for (place, limit) in b {
        let known = union.entry(place.clone()).or_default();
        *known = (*known).max(*limit);
    }
    union
}

fn share(targets: &[Arc<Target>], instances: &Domains, name: &str) -> Share {
    Division::new(targets, instances).share(name)
}

fn regular(share: &Share) -> usize {
    share.places().filter(|(_, place)| !place.spare).count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against more requests at a target than it can hold, also while some instances have an
    /// older list, and against instances that cannot send at all.
    #[test]
    fn the_sum_of_the_limits_fits_at_every_target(
        of_targets in vec(0_usize..40, 1..5),
        of_instances in vec(0_usize..40, 1..5),
        slots in 1_u32..8,
        removed in 0_usize..200,
        lost in 0_usize..160,
    ) {
        let (targets, instances) = (targets(&of_targets, slots), instances(&of_instances));
        if is_divided(&targets, instances.len()) {
            let all = limits(&targets, &instances);
            for (id, sum) in sums(&all) {
                prop_assert!(2 * sum <= ROOM_PER_SLOT * slots, "{id}: {sum}");
            }
            // Other lists of some of the instances.
            let fewer = instances.iter().skip(removed % instances.len());
            let fewer = fewer.map(|(name, domain)| (name.clone(), domain.clone())).collect();
            let remaining: Vec<Arc<Target>> = targets[lost % targets.len()..].to_vec();
            for (id, sum) in sums(&union(&all, &limits(&remaining, &fewer))) {
                prop_assert!(sum <= ROOM_PER_SLOT * slots, "{id}: {sum} with two lists");
            }
            for name in instances.keys() {
                let share = share(&targets, &instances, name);
                prop_assert!(share.places().count() >= targets.len().min(2), "{name}: {share:?}");
            }
        }
    }
}

/// Guards against a change of behavior in fleets where one request of each instance fits.
#[yare::parameterized(
    three_slots = { 19, 8, 3 },
    four_slots = { 16, 16, 4 },
    six_slots = { 20, 10, 6 },
    alone = { 1, 16, 6 },
)]
fn a_small_fleet_is_not_divided(instances: usize, count: usize, slots: u32) {
    assert!(!is_divided(&targets(&[count], slots), instances));
}

#[yare::parameterized(
    six_slots = { &[31, 31, 30, 30], &[33, 33, 33, 33], 6 },
    fewer_targets = { &[31, 31, 30, 30], &[14, 14, 13, 13], 6 },
    four_slots = { &[21, 21, 21], &[28, 28, 27], 4 },
    fewer_of_four_slots = { &[21, 21, 21], &[18, 17, 17], 4 },
)]
fn instances_get_similar_shares(of_instances: &[usize], of_targets: &[usize], slots: u32) {
    let (instances, targets) = (instances(of_instances), targets(of_targets, slots));
    let division = Division::new(&targets, &instances);
    let mean = targets.len() as f64 * f64::from(slots * 5 / 2) / instances.len() as f64;
    for (name, domain) in &instances {
        let share = division.share(name);
        let own = share.places().filter(|(id, place)| {
            !place.spare && targets.iter().any(|t| t.incarnation.id == **id && t.domain == *domain)
        });
        let capacity = f64::from(share.capacity());
        assert!(capacity > 0.6 * mean && capacity < 1.5 * mean, "{name}: {capacity} of {mean}");
        assert!(own.count() >= 3, "{name}: {share:?}");
    }
    let sums = sums(&limits(&targets, &instances));
    let assigned: u32 = sums.values().sum();
    assert!(f64::from(assigned) > 0.97 * mean * instances.len() as f64, "{assigned}");
}

/// Guards against capacity that nobody may use, and against instances without any.
#[test]
fn domains_without_targets_or_instances_take_part() {
    let (instances, targets) = (instances(&[40, 40, 40, 0]), targets(&[0, 30, 50, 50], 6));
    let limits = limits(&targets, &instances);
    for (id, sum) in sums(&limits) {
        assert!(sum >= 12, "{id}: {sum}");
    }
    let division = Division::new(&targets, &instances);
    for (name, domain) in &instances {
        let capacity = division.share(name).capacity();
        assert!(capacity >= 6, "{name} of {domain}: {capacity}");
    }
}

/// Guards against a single domain whose reserve for other domains is unused.
#[test]
fn a_single_domain_uses_its_reserve() {
    let (instances, targets) = (instances(&[100]), targets(&[100], 6));
    for (id, sum) in sums(&limits(&targets, &instances)) {
        assert!(sum >= 14, "{id}: {sum}");
    }
}

/// Guards against instances that can never send because there are too few targets for all.
#[test]
fn instances_without_a_regular_place_have_spare_ones() {
    let (instances, targets) = (instances(&[61, 61]), targets(&[1], 6));
    let division = Division::new(&targets, &instances);
    let shares: Vec<Share> = instances.keys().map(|name| division.share(name)).collect();
    assert!(shares.iter().all(|share| share.places().count() == 1));
    let regular = shares.iter().filter(|share| regular(share) == 1).count();
    assert!((14..=15).contains(&regular), "{regular}");
}

/// Guards against a change of most places, and with them of most connections, whenever one target
/// or instance leaves, and against places that differ after it has returned.
#[test]
fn a_change_of_the_lists_affects_few_places() {
    let (all, known) = (targets(&[33, 33, 33, 33], 6), instances(&[31, 31, 30, 30]));
    let before = limits(&all, &known);
    let changed = |after: &Limits| {
        after.iter().filter(|(place, limit)| before.get(*place) != Some(limit)).count()
    };
    let (mut without_target, mut without_instance) = (Vec::new(), Vec::new());
    for index in 0..10 {
        let mut fewer = all.clone();
        fewer.remove(index * 11);
        without_target.push(changed(&limits(&fewer, &known)));
        let mut fewer = known.clone();
        fewer.remove(format!("edge-{}", index * 11).as_str());
        without_instance.push(changed(&limits(&all, &fewer)));
    }
    println!("{} places; {without_target:?}, {without_instance:?}", before.len());
    let few = before.len() / 10;
    assert!(without_target.iter().chain(&without_instance).all(|count| *count < few));
    assert_eq!(limits(&all, &known), before);
}

/// The order in which targets are known differs between instances.
#[test]
fn the_order_of_the_targets_does_not_matter() {
    let (mut all, known) = (targets(&[30, 30, 30], 6), instances(&[40, 40, 40]));
    let before = limits(&all, &known);
    all.reverse();
    assert_eq!(limits(&all, &known), before);
}

/// Guards against a computation for each request, and against a share that ignores a change.
#[test]
fn a_share_follows_the_lists_within_its_interval() {
    let known = instances(&[31, 31, 30, 30]);
    let service: Arc<str> = "service".into();
    let mut shares = Shares::default();
    let at = |millis: u64| Stamp::from_millis(1000 + millis);
    let all = targets(&[33, 33, 33, 33], 6);
    let first = shares.get(&service, "edge-0", || (all.clone(), known.clone()), at(0)).unwrap();
    let cached = shares.get(&service, "edge-0", || unreachable!(), at(499)).unwrap();
    assert!(Arc::ptr_eq(&first, &cached));
    let same = shares.get(&service, "edge-0", || (all.clone(), known.clone()), at(500)).unwrap();
    assert!(Arc::ptr_eq(&first, &same));
    let used: BTreeMap<_, _> = first.places().filter(|(_, place)| !place.spare).collect();
    let (id, place) = used.first_key_value().unwrap();
    let left: Vec<Arc<Target>> =
        all.iter().filter(|target| target.incarnation.id != **id).cloned().collect();
    let gone = all.iter().find(|target| target.incarnation.id == **id).unwrap();
    assert_eq!(shares.idle_connections(gone, 232), Some(place.limit.min(2) as usize));
    let next = shares.get(&service, "edge-0", || (left, known.clone()), at(1000)).unwrap();
    assert_eq!(next.place(id), None);
    assert_eq!(shares.idle_connections(gone, 232), Some(0));
    let few = || (all[..3].to_vec(), instances(&[5]));
    assert_eq!(shares.get(&service, "edge-0", few, at(1500)), None);
    assert_eq!(shares.idle_connections(gone, 232), None);
}

/// Prints the time that a replaced target costs an instance; run in a release build. Guards against
/// a share that is computed from weights of other lists than the present ones.
#[test]
fn a_replaced_target_changes_a_share_as_if_it_were_computed_anew() {
    let (mut all, known) = (targets(&[33, 33, 33, 33], 6), instances(&[31, 31, 30, 30]));
    let service: Arc<str> = "service".into();
    let mut shares = Shares::default();
    let (mut time, mut known) = (Duration::ZERO, known);
    for round in 0..20_usize {
        if round % 7 == 6 {
            known.remove(format!("edge-{round}").as_str());
            known.insert(format!("new-{round}").into(), "domain-0".into());
        }
        all[round] = target(1000 + round, round % 4, 6);
        let now = Stamp::from_millis(1000 + 500 * round as u64);
        let lists = (all.clone(), known.clone());
        let started = std::time::Instant::now();
        let share = shares.get(&service, "edge-0", || lists, now).unwrap();
        time += started.elapsed();
        let fresh = Division::new(&all, &known).share("edge-0");
        assert_eq!(*share, fresh, "round {round}");
    }
    println!("{:?} each", time / 20);
}
