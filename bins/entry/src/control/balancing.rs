//! Shard moves under load.

use caraway_core::time::Stamp;

use super::Control;

impl Control {
    pub(super) fn balance(&mut self, _now: Stamp) {}
}
