//! Load traces: the requests of every key in every window.
//!
//! A trace is generated from a seed, so that every policy is measured on the same requests.

use std::ops::Range;
use std::time::Duration;

use caraway_core::shard;
use caraway_core::shard::Shard;

/// Layout of a keyed service.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of groups.
    pub groups: u32,
    /// Number of targets in each group.
    pub targets: u32,
    /// Number of shards.
    pub shards: u32,
}

/// Load whose rate rises, stays constant and falls.
#[derive(Clone, Debug)]
pub struct Surge {
    /// Keys that are requested.
    pub keys: Range<u32>,
    /// Exponent of the Zipf distribution over the keys; zero is uniform.
    pub exponent: f64,
    /// Peak rate in requests per second.
    pub rate: f64,
    /// Start in seconds.
    pub start: f64,
    /// Time from zero to the peak rate, in seconds.
    pub rise: f64,
    /// Time at the peak rate, in seconds.
    pub hold: f64,
    /// Time from the peak rate back to zero, in seconds.
    pub fall: f64,
    /// Whether the requests are urgent.
    pub urgent: bool,
}

impl Surge {
    fn rate_at(&self, seconds: f64) -> f64 {
        let age = seconds - self.start;
        let top = self.rise + self.hold;
        let fraction = if age < self.rise {
            age / self.rise.max(f64::MIN_POSITIVE)
        } else if age < top {
            1.0
        } else {
            1.0 - (age - top) / self.fall.max(f64::MIN_POSITIVE)
        };
        self.rate * fraction.clamp(0.0, 1.0)
    }
}

/// Parameters from which a trace is generated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Layout of the service.
    pub layout: Layout,
    /// Number of keys.
    pub keys: u32,
    /// Number of windows.
    pub windows: u32,
    /// Load components, including the steady background.
    pub surges: Vec<Surge>,
}

/// Length of a window.
pub const WINDOW: Duration = Duration::from_millis(500);

/// Requests of one key in one window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// The key.
    pub key: u32,
    /// Number of requests.
    pub requests: u32,
    /// Number of urgent requests among them.
    pub urgent: u32,
}

/// Load trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Layout of the service.
    pub layout: Layout,
    /// Shard of every key.
    pub shards: Vec<Shard>,
    /// Requests by window, in key order.
    pub windows: Vec<Vec<Count>>,
}

/// Pseudo-random number generator (SplitMix64; Steele, Lea and Flood, "Fast Splittable Pseudorandom
/// Number Generators", OOPSLA 2014). It is implemented here so that traces do not change with the
/// version of a library.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number in the range from zero, inclusive, to one, exclusive.
    pub fn unit(&mut self) -> f64 {
        let high = u32::try_from(self.next() >> 32).unwrap_or(0);
        f64::from(high) / 4_294_967_296.0
    }

    /// Returns a number below the bound, or zero if the bound is zero.
    pub fn below(&mut self, bound: u32) -> u32 {
        u32::try_from(((self.next() >> 32) * u64::from(bound)) >> 32).unwrap_or(0)
    }
}

/// Surge with the cumulative weights of its keys.
struct Source<'a> {
    surge: &'a Surge,
    cumulative_weights: Vec<f64>,
    remainder: f64,
}

impl<'a> Source<'a> {
    fn new(surge: &'a Surge) -> Self {
        let mut cumulative_weight = 0.0;
        let mut cumulative_weights = Vec::new();
        for rank in 1..=surge.keys.len() {
            let rank = f64::from(u32::try_from(rank).unwrap_or(u32::MAX));
            cumulative_weight += rank.powf(-surge.exponent);
            cumulative_weights.push(cumulative_weight);
        }
        Self { surge, cumulative_weights, remainder: 0.0 }
    }

    fn requests(&mut self, seconds: f64) -> u32 {
        self.remainder += self.surge.rate_at(seconds) * WINDOW.as_secs_f64();
        let mut count = 0;
        while self.remainder >= 1.0 {
            self.remainder -= 1.0;
            count += 1;
        }
        count
    }

    fn key(&self, random: &mut Random) -> u32 {
        let total = self.cumulative_weights.last().copied().unwrap_or(0.0);
        let point = random.unit() * total;
        let rank = self.cumulative_weights.partition_point(|weight| *weight <= point);
        self.surge.keys.start + u32::try_from(rank).unwrap_or(0)
    }
}

impl Trace {
    /// Generates a trace. Keys are numbered, and their shards follow from the hash of their names.
    pub fn generate(scenario: &Scenario, seed: u64) -> Self {
        let mut random = Random::new(seed);
        let shards = scenario.layout.shards;
        let name = |key: u32| format!("{}/{seed}/{key}", scenario.name);
        let shard_of = |key| shard::of_key(name(key).as_bytes(), shards);
        let mut sources: Vec<Source<'_>> = scenario.surges.iter().map(Source::new).collect();
        let mut windows = Vec::new();
        for window in 0..scenario.windows {
            let seconds = f64::from(window) * WINDOW.as_secs_f64();
            windows.push(draw(&mut sources, seconds, scenario.keys, &mut random));
        }
        let layout = scenario.layout.clone();
        Self { layout, shards: (0..scenario.keys).map(shard_of).collect(), windows }
    }
}

fn draw(sources: &mut [Source<'_>], seconds: f64, keys: u32, random: &mut Random) -> Vec<Count> {
    let mut counts: Vec<Count> = (0..keys).map(|key| Count { key, ..Count::default() }).collect();
    for source in sources {
        let urgent = u32::from(source.surge.urgent);
        for _ in 0..source.requests(seconds) {
            let index = usize::try_from(source.key(random)).unwrap_or(usize::MAX);
            if let Some(count) = counts.get_mut(index) {
                count.requests += 1;
                count.urgent += urgent;
            }
        }
    }
    counts.retain(|count| count.requests > 0);
    counts
}
