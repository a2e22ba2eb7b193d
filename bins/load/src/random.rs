//! Seeded pseudo-random numbers and key distributions.

use crate::profile::Distribution;

/// SplitMix64 generator (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
///
/// Each request has its own generator, seeded with the seed of the run and the number of the request. The
/// requests of a run therefore do not depend on the scheduling of its workers.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates the generator for one stream of a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut random = Self { state: seed };
        random.state = random.next_u64() ^ stream.wrapping_mul(0xd134_2543_de82_ef95);
        random.next_u64();
        random
    }

    /// Returns a uniformly distributed 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.state;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Returns a uniformly distributed number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        let product = u128::from(self.next_u64()) * u128::from(bound);
        u64::try_from(product >> 64).unwrap_or(0)
    }

    /// Returns a uniformly distributed number in `[0, 1)`, with a resolution of 2^-32.
    pub fn next_f64(&mut self) -> f64 {
        let high_bits = u32::try_from(self.next_u64() >> 32).unwrap_or(0);
        f64::from(high_bits) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Key distribution of one request kind.
#[derive(Clone, Debug)]
pub struct Keys {
    count: u32,
    sampler: Sampler,
}

#[derive(Clone, Debug)]
enum Sampler {
    Uniform,
    Cumulative(Vec<f64>),
    Hot { keys: u32, share: f64 },
}

impl Keys {
    /// Creates the distribution over the keys 0 to `count` - 1.
    pub fn new(count: u32, distribution: &Distribution) -> Self {
        let sampler = match distribution {
            Distribution::Uniform => Sampler::Uniform,
            Distribution::Zipf { exponent } => Sampler::Cumulative(zipf(count, *exponent)),
            Distribution::Hot { keys, share } => Sampler::Hot { keys: *keys, share: *share },
        };
        Self { count, sampler }
    }

    /// Samples a key.
    pub fn sample(&self, random: &mut Random) -> u32 {
        let uniform = |random: &mut Random, count: u32| {
            u32::try_from(random.below(u64::from(count))).unwrap_or(0)
        };
        match &self.sampler {
            Sampler::Uniform => uniform(random, self.count),
            Sampler::Hot { keys, share } => {
                let hot = random.next_f64() < *share;
                uniform(random, if hot { *keys } else { self.count })
            }
            Sampler::Cumulative(cumulative) => {
                let threshold = random.next_f64() * cumulative.last().copied().unwrap_or(0.0);
                let index = cumulative.partition_point(|sum| *sum <= threshold);
                u32::try_from(index).unwrap_or(0).min(self.count.saturating_sub(1))
            }
        }
    }
}

/// Returns the cumulative weights of the ranks 1 to `count`.
fn zipf(count: u32, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += f64::from(rank).powf(-exponent);
            sum
        })
        .collect()
}
