//! Seeded pseudo-random numbers and key distributions.

use crate::profile::Distribution;

/// SplitMix64, after Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (2014).
///
/// Each request has its own generator, seeded with the run's seed and the request's number, so a run
/// submits the same requests whatever the order in which its workers take them.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Makes the generator of one stream of a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut random = Self { state: seed };
        random.state = random.next_u64() ^ stream.wrapping_mul(0xd134_2543_de82_ef95);
        random.next_u64();
        random
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.state;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Returns a number below `bound`, or zero if the bound is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        let wide = u128::from(self.next_u64()) * u128::from(bound);
        u64::try_from(wide >> 64).unwrap_or(0)
    }

    /// Returns a number of the half-open interval from 0 to 1.
    pub fn next_f64(&mut self) -> f64 {
        let bits = u32::try_from(self.next_u64() >> 32).unwrap_or(0);
        f64::from(bits) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Draws keys of one request kind.
#[derive(Clone, Debug)]
pub struct Keys {
    count: u32,
    shape: Shape,
}

#[derive(Clone, Debug)]
enum Shape {
    Uniform,
    Cumulative(Vec<f64>),
    Hot { keys: u32, share: f64 },
}

impl Keys {
    /// Makes the distribution over keys 0 to `count` - 1.
    pub fn new(count: u32, distribution: &Distribution) -> Self {
        let shape = match distribution {
            Distribution::Uniform => Shape::Uniform,
            Distribution::Zipf { exponent } => Shape::Cumulative(zipf(count, *exponent)),
            Distribution::Hot { keys, share } => Shape::Hot { keys: *keys, share: *share },
        };
        Self { count, shape }
    }

    /// Returns the next key.
    pub fn draw(&self, random: &mut Random) -> u32 {
        let uniform = |random: &mut Random, count: u32| {
            u32::try_from(random.below(u64::from(count))).unwrap_or(0)
        };
        match &self.shape {
            Shape::Uniform => uniform(random, self.count),
            Shape::Hot { keys, share } => {
                let hot = random.next_f64() < *share;
                uniform(random, if hot { *keys } else { self.count })
            }
            Shape::Cumulative(sums) => {
                let point = random.next_f64() * sums.last().copied().unwrap_or(0.0);
                let index = sums.partition_point(|sum| *sum <= point);
                u32::try_from(index).unwrap_or(0).min(self.count.saturating_sub(1))
            }
        }
    }
}

fn zipf(count: u32, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += f64::from(rank).powf(-exponent);
            sum
        })
        .collect()
}
