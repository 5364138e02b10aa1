//! Messages between dispatchers: slots asked for and granted, and handed-over keys.

use std::collections::BTreeSet;

use super::assign::{ASK_WIDTH, MAX_ASK_WIDTH};
use super::dispatcher::Dispatcher;
use super::outbox::Outbox;
use super::types::{AskItem, AskStamp, GrantItem, RequestMessage, TargetTag};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// The most items of one message that are read. A home of that many targets would exceed its budget.
const MAX_ITEMS: usize = 4_096;

impl Dispatcher {
    pub(super) fn take_message(
        &mut self,
        now: Millis,
        from: &VmId,
        message: RequestMessage,
        out: &mut Outbox,
    ) {
        match message {
            RequestMessage::Ask { stamp, items } => {
                self.homes.note_stamp(from, stamp);
                for item in items.into_iter().take(MAX_ITEMS) {
                    self.take_ask(now, from, item, out);
                }
            }
            RequestMessage::Grant { echo, items } => {
                self.asks.heard(from);
                let mut services = BTreeSet::new();
                for item in items.into_iter().take(MAX_ITEMS) {
                    if let Some(target) = self.take_grant(now, from, echo, item, out) {
                        let info = self.directory.target(&target);
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
                self.keys.take_part(records);
                out.message(from, RequestMessage::KeysTaken { issuer, incarnation, part, taker });
            }
            RequestMessage::Keys(_) => {}
            RequestMessage::KeysTaken { issuer, incarnation, part, taker } => {
                let taker = (from.clone(), taker);
                self.take_confirmation(now, &taker, &(issuer, incarnation), part, out);
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

    fn take_ask(&mut self, now: Millis, from: &VmId, item: AskItem, out: &mut Outbox) {
        let (AskItem::Want { target: tag, .. }
        | AskItem::Release { target: tag }
        | AskItem::Refused { target: tag }
        | AskItem::Hold { target: tag, .. }) = item;
        let home_of = self.directory.by_tag(tag).filter(|target| self.homes.is_home(target));
        let Some(target) = home_of else {
            if matches!(item, AskItem::Want { slots: 1.., .. }) {
                out.grant(from, GrantItem::NotHome { target: tag });
            }
            return;
        };
        match item {
            AskItem::Want { slots, urgency, .. } => {
                self.homes.want(now, from, &target, u32::from(slots), urgency);
                if slots > 0 {
                    self.grant_or_tell_busy(now, from, &target, urgency.priority, out);
                }
            }
            AskItem::Release { .. } => {
                self.homes.release(from, &target);
                self.grant_from_home(now, &target, out);
            }
            AskItem::Refused { .. } => {
                self.homes.refused(now, from, &target);
                self.grant_from_home(now, &target, out);
            }
            AskItem::Hold { slots, .. } => {
                self.homes.hold(now, from, &target, u32::from(slots));
            }
        }
    }

    fn grant_or_tell_busy(
        &mut self,
        now: Millis,
        from: &VmId,
        target: &Name,
        priority: u8,
        out: &mut Outbox,
    ) {
        let before = self.homes.in_use(target);
        self.grant_from_home(now, target, out);
        if self.homes.wants(from, target, priority) || self.homes.in_use(target) == before {
            let rival = self.homes.rival(now, from, target);
            out.grant(from, GrantItem::Busy { target: TargetTag::of(target), rival });
        }
    }

    /// Takes one item of a grant, and returns the target whose services may need other slots now.
    fn take_grant(
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
        let Some(target) = self.directory.by_tag(tag) else {
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
                self.asks.granted(now, &target, priority, rival);
                self.take_slot(now, from, &target, out);
            }
            GrantItem::Busy { rival, .. } => {
                self.asks.busy(now, &target, rival);
                if !self.widen(&target) {
                    return None;
                }
            }
            GrantItem::NotHome { .. } => self.asks.denied(now, &target),
        }
        Some(target)
    }

    /// Widens the search for a slot after a busy answer, and tells whether it was not at its widest.
    fn widen(&mut self, target: &Name) -> bool {
        let services = self.directory.target(target).map(|info| info.services.clone());
        let mut wider = false;
        for service in services.iter().flatten() {
            for priority in self.asks.asked(target) {
                let width = self.widths.entry((service.clone(), priority)).or_insert(ASK_WIDTH);
                wider |= *width < MAX_ASK_WIDTH;
                *width = (*width + 1).min(MAX_ASK_WIDTH);
            }
        }
        wider
    }
}
