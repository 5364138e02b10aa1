//! Handles messages between dispatchers: slot requests, grants and key records.

use std::collections::BTreeSet;

use super::assign::{INITIAL_FANOUT, MAX_FANOUT};
use super::dispatcher::Dispatcher;
use super::outbox::Outbox;
use super::types::{AskItem, AskStamp, GrantItem, RequestMessage, TargetTag};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// Items beyond this number in one message are ignored. The home of that many targets would exceed
/// its budget for control traffic.
const MAX_ITEMS_PER_MESSAGE: usize = 4_096;

impl Dispatcher {
    pub(super) fn handle_message(
        &mut self,
        now: Millis,
        from: &VmId,
        message: RequestMessage,
        out: &mut Outbox,
    ) {
        match message {
            RequestMessage::Ask { stamp, items } => {
                self.leases.record_stamp(from, stamp);
                for item in items.into_iter().take(MAX_ITEMS_PER_MESSAGE) {
                    self.handle_ask(now, from, item, out);
                }
            }
            RequestMessage::Grant { echo, items } => {
                self.slot_requests.record_response(from);
                let mut services = BTreeSet::new();
                for item in items.into_iter().take(MAX_ITEMS_PER_MESSAGE) {
                    if let Some(target) = self.handle_grant(now, from, echo, item, out) {
                        let info = self.target_index.target(&target);
                        services.extend(info.into_iter().flat_map(|info| info.services.clone()));
                    }
                }
                for service in services {
                    self.dispatch(now, &service, out);
                }
            }
            RequestMessage::Keys(records) if !self.leaving => {
                let (issuer, incarnation) = (records.issuer.clone(), records.incarnation);
                let (part, taker) = (Some(records.part), self.incarnation);
                self.keys.apply_part(records);
                out.message(from, RequestMessage::KeysTaken { issuer, incarnation, part, taker });
            }
            RequestMessage::Keys(_) => {}
            RequestMessage::KeysTaken { issuer, incarnation, part, taker } => {
                let taker = (from.clone(), taker);
                self.apply_confirmation(now, &taker, &(issuer, incarnation), part, out);
            }
            RequestMessage::Successor { issuer, incarnation, successor, successor_incarnation } => {
                let me = (self.me.clone(), self.incarnation);
                let (issuer, successor) =
                    ((issuer, incarnation), (successor, successor_incarnation));
                if issuer == me {
                    self.counters.odd_messages += 1;
                } else if successor == me {
                    self.adopt(from, &issuer, out);
                } else {
                    self.keys.set_successor(issuer, successor);
                }
            }
        }
    }

    fn handle_ask(&mut self, now: Millis, from: &VmId, item: AskItem, out: &mut Outbox) {
        let (AskItem::Want { target: tag, .. }
        | AskItem::Release { target: tag }
        | AskItem::Refused { target: tag }
        | AskItem::Hold { target: tag, .. }) = item;
        let home_target =
            self.target_index.by_tag(tag).filter(|target| self.leases.is_home(target));
        let Some(target) = home_target else {
            if matches!(item, AskItem::Want { slots: 1.., .. }) {
                out.grant(from, GrantItem::NotHome { target: tag });
            }
            return;
        };
        match item {
            AskItem::Want { slots, urgency, .. } => {
                self.leases.request_slots(now, from, &target, u32::from(slots), urgency);
                if slots > 0 {
                    self.grant_or_send_busy(now, from, &target, urgency.priority, out);
                }
            }
            AskItem::Release { .. } => {
                self.leases.release(from, &target);
                self.grant_from_home(now, &target, out);
            }
            AskItem::Refused { .. } => {
                self.leases.record_refusal(now, from, &target);
                self.grant_from_home(now, &target, out);
            }
            AskItem::Hold { slots, .. } => {
                self.leases.record_use(now, from, &target, u32::from(slots));
            }
        }
    }

    fn grant_or_send_busy(
        &mut self,
        now: Millis,
        from: &VmId,
        target: &Name,
        priority: u8,
        out: &mut Outbox,
    ) {
        let before = self.leases.in_use(target);
        self.grant_from_home(now, target, out);
        if self.leases.is_waiting(from, target, priority) || self.leases.in_use(target) == before {
            let rival = self.leases.rival(now, from, target);
            out.grant(from, GrantItem::Busy { target: TargetTag::of(target), rival });
        }
    }

    /// Handles one item of a grant message, and returns the target if its services may now need
    /// slots of other targets.
    fn handle_grant(
        &mut self,
        now: Millis,
        from: &VmId,
        echo: AskStamp,
        item: GrantItem,
        out: &mut Outbox,
    ) -> Option<Name> {
        let (GrantItem::Slot { target: tag, .. }
        | GrantItem::Busy { target: tag, .. }
        | GrantItem::NotHome { target: tag }) = item;
        let Some(target) = self.target_index.by_tag(tag) else {
            self.counters.odd_messages += 1;
            if matches!(item, GrantItem::Slot { .. }) {
                out.ask(from, AskItem::Release { target: tag });
            }
            return None;
        };
        match item {
            GrantItem::Slot { .. } if echo.age(now) >= self.limits.lease => {
                self.counters.grants_lapsed += 1;
                return None;
            }
            GrantItem::Slot { priority, rival, .. } => {
                self.slot_requests.record_grant(now, &target, priority, rival);
                self.apply_slot_grant(now, from, &target, out);
            }
            GrantItem::Busy { rival, .. } => {
                self.slot_requests.record_busy(now, &target, rival);
                if !self.increase_fanout(&target) {
                    return None;
                }
            }
            GrantItem::NotHome { .. } => self.slot_requests.record_not_home(now, &target),
        }
        Some(target)
    }

    /// Raises the fan-out after a busy response, and returns whether it was below its maximum.
    fn increase_fanout(&mut self, target: &Name) -> bool {
        let services = self.target_index.target(target).map(|info| info.services.clone());
        let mut increased = false;
        for service in services.iter().flatten() {
            for priority in self.slot_requests.requested_priorities(target) {
                let fanout =
                    self.fanouts.entry((service.clone(), priority)).or_insert(INITIAL_FANOUT);
                increased |= *fanout < MAX_FANOUT;
                *fanout = (*fanout + 1).min(MAX_FANOUT);
            }
        }
        increased
    }
}
