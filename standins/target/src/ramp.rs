//! The cold start: a target that has just started is slower and has fewer slots.

/// Factor in thousandths by which a request takes longer right after the start.
const COLD_FACTOR_PERMILLE: u64 = 3000;

/// Progress of the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    start_ms: u64,
    warmup_ms: u64,
}

impl Ramp {
    /// Starts the warm-up.
    pub fn new(start_ms: u64, warmup_ms: u32) -> Self {
        Self { start_ms, warmup_ms: warmup_ms.into() }
    }

    /// Returns whether the warm-up is in progress.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.progress_permille(now_ms) < 1000
    }

    /// Returns the slots that can be used now. They grow linearly from one.
    pub fn slots(&self, slots: u32, now_ms: u64) -> u32 {
        let usable = u64::from(slots) * self.progress_permille(now_ms) / 1000;
        u32::try_from(usable).unwrap_or(slots).max(1)
    }

    /// Returns the time that a request takes now. It falls linearly from three times the usual.
    pub fn service_ms(&self, service_ms: u64, now_ms: u64) -> u64 {
        let progress = self.progress_permille(now_ms);
        let factor = COLD_FACTOR_PERMILLE - (COLD_FACTOR_PERMILLE - 1000) * progress / 1000;
        service_ms.saturating_mul(factor) / 1000
    }

    fn progress_permille(&self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.start_ms).min(self.warmup_ms);
        (elapsed * 1000).checked_div(self.warmup_ms).unwrap_or(1000)
    }
}
