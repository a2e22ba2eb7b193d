//! Release of keys by their earlier owners.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::coordinator::Call;
use crate::coordinator::Coordinator;
use crate::coordinator::Reply;
use crate::membership::Incarnation;
use crate::proof::Proof;

impl Coordinator {
    /// Records the reply to a release, which removes the earlier owner if it is a proof.
    pub(super) fn record_release_reply(&mut self, call: &Call, reply: &Reply) {
        let Some(state) = self.services.get_mut(&call.service) else { return };
        let fence = call.fence + 1;
        let id = (call.first, call.last, fence, call.incarnation.clone());
        let Some(proof) = Proof::of_reply(call, reply) else {
            if let Some(status) = state.releases.get_mut(&id) {
                status.in_flight = false;
            }
            return;
        };
        state.releases.remove(&id);
        if let Reply::Done { handover: Some(handover) } = reply
            && let Some(status) = state.grants.get_mut(&(call.first, call.last, fence))
        {
            status.handover = Some(handover.clone());
        }
        let keys = (call.first, call.last, fence);
        self.clear_earlier(&call.service, keys, &call.incarnation, proof);
    }

    /// Removes an earlier owner of the keys of a holding. This is the only way in which keys become
    /// free for their next owner.
    pub(super) fn clear_earlier(
        &mut self,
        service: &Arc<str>,
        (first, last, fence): (u16, u16, u64),
        incarnation: &Incarnation,
        proof: Proof,
    ) {
        if proof.covers_all_keys() {
            self.holds.end(incarnation);
        }
        if let Some(state) = self.services.get_mut(service) {
            state.table.remove_earlier(first, last, fence, incarnation);
        }
        self.clearances.insert((service.clone(), incarnation.clone(), proof));
    }

    /// Returns which earlier owners were removed since the last call, by service and with the proof.
    pub fn take_clearances(&mut self) -> BTreeSet<(Arc<str>, Incarnation, Proof)> {
        std::mem::take(&mut self.clearances)
    }
}
