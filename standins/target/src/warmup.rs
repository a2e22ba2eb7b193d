//! Warm-up: a cold target is slower and has fewer slots.

/// Service time directly after the start, in thousandths of the warm service time.
const COLD_SERVICE_TIME_PERMILLE: u64 = 3000;

#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    start_ms: u64,
    warmup_ms: u64,
}

impl Warmup {
    /// Starts the warm-up at `start_ms` on the boot-time clock.
    pub fn new(start_ms: u64, warmup_ms: u32) -> Self {
        Self { start_ms, warmup_ms: warmup_ms.into() }
    }

    /// Returns true if the warm-up is in progress.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.progress_permille(now_ms) < 1000
    }

    /// Returns the number of usable slots, which grows linearly from one to `slots` during the warm-up.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        let usable = u64::from(slots) * self.progress_permille(now_ms) / 1000;
        u32::try_from(usable).unwrap_or(slots).max(1)
    }

    /// Returns the service time, which decreases linearly from the cold to the warm service time `service_ms`.
    pub fn service_ms(&self, service_ms: u64, now_ms: u64) -> u64 {
        let progress = self.progress_permille(now_ms);
        let factor =
            COLD_SERVICE_TIME_PERMILLE - (COLD_SERVICE_TIME_PERMILLE - 1000) * progress / 1000;
        service_ms.saturating_mul(factor) / 1000
    }

    fn progress_permille(&self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.start_ms).min(self.warmup_ms);
        (elapsed * 1000).checked_div(self.warmup_ms).unwrap_or(1000)
    }
}
