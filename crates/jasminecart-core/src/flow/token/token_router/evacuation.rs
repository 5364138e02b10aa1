//! Keeps new flows away from the targets of evacuated data centres.
//!
//! Targets of an evacuated data centre are not among the candidates of their service, so that no
//! selection can return one, whatever is known of the others. Open flows are routed by their token.

use super::TokenRouter;
use crate::names::Name;
use crate::time::Millis;
use crate::version::{EvacuationChange, EvacuationEffect, Evacuations, StoreRevision};

impl TokenRouter {
    /// Applies one change of an evacuation.
    pub fn change_evacuation(&mut self, now: Millis, change: EvacuationChange) -> EvacuationEffect {
        let data_centre = change.data_centre().clone();
        let effect = self.evacuations.apply(now, change);
        self.on_evacuation_effect(now, &data_centre, effect);
        effect
    }

    /// Replaces the evacuations by a full state that is complete up to `revision`. Returns the effect
    /// on each data centre.
    pub fn set_evacuations(
        &mut self,
        now: Millis,
        listed: Vec<EvacuationChange>,
        revision: StoreRevision,
    ) -> Vec<(Name, EvacuationEffect)> {
        let effects = self.evacuations.replace(now, listed, revision);
        for (data_centre, effect) in &effects {
            self.on_evacuation_effect(now, data_centre, *effect);
        }
        effects
    }

    /// Returns the evacuations.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns and clears the data centres whose evacuation ended because a restored store did not
    /// return the request.
    pub fn take_lapsed_evacuations(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.lapsed_evacuations)
    }

    /// Returns how many targets would accept new flows if their data centres were not evacuated.
    pub fn evacuated_targets(&self) -> usize {
        let evacuated = |data_centre| self.evacuations.is_evacuated(data_centre);
        let targets = self.targets.iter().filter(|target| target.accepts_flows);
        targets.filter(|target| evacuated(&target.data_centre)).count()
    }

    /// Ends evacuations whose requests a restored store did not return.
    pub(super) fn expire_evacuations(&mut self, now: Millis) {
        for data_centre in self.evacuations.expire(now) {
            self.on_evacuation_ended(now, &data_centre);
            self.lapsed_evacuations.push(data_centre);
        }
    }

    fn on_evacuation_effect(&mut self, now: Millis, data_centre: &Name, effect: EvacuationEffect) {
        match effect {
            EvacuationEffect::Began => self.update_candidates(data_centre),
            EvacuationEffect::Ended => self.on_evacuation_ended(now, data_centre),
            EvacuationEffect::Doubted
            | EvacuationEffect::Confirmed
            | EvacuationEffect::Outdated
            | EvacuationEffect::Unchanged
            | EvacuationEffect::Refused => {}
        }
    }

    /// Returns the targets of a data centre to service. Every end of an evacuation passes here.
    /// Their records may report only later that they are cold.
    fn on_evacuation_ended(&mut self, now: Millis, data_centre: &Name) {
        self.set_data_centre_returned(now, data_centre);
        self.update_candidates(data_centre);
    }

    /// Adds the targets of a data centre to the candidates of their services, or removes them.
    fn update_candidates(&mut self, data_centre: &Name) {
        let targets = &self.targets;
        for indices in self.by_service.values_mut() {
            indices.retain(|index| targets[*index].data_centre != *data_centre);
        }
        for index in 0..self.targets.len() {
            if self.targets[index].data_centre == *data_centre {
                self.add_candidate(index);
            }
        }
    }
}
