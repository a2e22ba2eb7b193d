//! Limits on the calls in flight of a coordinator.

/// Maximum number of grants in flight. Each takes a connection and up to 16 KiB of buffers; with this
/// many, a fleet with 600 holdings is renewed in three round trips.
pub const MAX_GRANTS_IN_FLIGHT: usize = 256;

/// Maximum number of grants in flight that are not renewals of confirmed grants. Those of targets
/// that do not respond last until the timeout, so the rest is left to renewals.
const MAX_UNCONFIRMED_IN_FLIGHT: usize = 192;

/// Maximum number of releases in flight. Each takes a connection and up to 40 KiB of buffers.
pub const MAX_RELEASES_IN_FLIGHT: usize = 64;

/// Maximum number of releases in flight at targets that do not respond to grants. They last until
/// the timeout, so the rest is left to targets that respond.
const MAX_SILENT_RELEASES_IN_FLIGHT: usize = 32;

/// Kinds of calls, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Renewal of a grant whose latest call succeeded.
    Renewal,
    /// Another grant: a new token, or one whose latest call failed.
    Grant,
    /// Release at a target that responds to grants, or has not been sent any.
    Release,
    /// Release at a target that does not respond to grants.
    SilentRelease,
}

/// Numbers of calls in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    renewals: usize,
    grants: usize,
    releases: usize,
    silent_releases: usize,
}

impl InFlight {
    /// Returns whether another call may be sent.
    pub fn admits(&self, class: Class) -> bool {
        let grants = self.renewals + self.grants;
        let releases = self.releases + self.silent_releases;
        match class {
            Class::Renewal => grants < MAX_GRANTS_IN_FLIGHT,
            Class::Grant => {
                grants < MAX_GRANTS_IN_FLIGHT && self.grants < MAX_UNCONFIRMED_IN_FLIGHT
            }
            Class::Release => releases < MAX_RELEASES_IN_FLIGHT,
            Class::SilentRelease => {
                releases < MAX_RELEASES_IN_FLIGHT
                    && self.silent_releases < MAX_SILENT_RELEASES_IN_FLIGHT
            }
        }
    }

    /// Records that a call was sent.
    pub fn add(&mut self, class: Class) {
        *self.count(class) += 1;
    }

    /// Records that a call has ended.
    pub fn remove(&mut self, class: Class) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
    }

    fn count(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Renewal => &mut self.renewals,
            Class::Grant => &mut self.grants,
            Class::Release => &mut self.releases,
            Class::SilentRelease => &mut self.silent_releases,
        }
    }
}
