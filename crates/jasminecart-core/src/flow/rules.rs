//! The routing decision for each packet.

use super::bucket_router::BucketRouter;
use super::exceptions::{Entry, State};
use super::generations::{LiveTarget, ServiceTable};
use super::hash::{flow_hash, fragment_hash};
use super::messages::FlowMessage;
use super::owners::MAX_RANKED;
use super::packet::{FlowKey, FlowPacket, ForwardHeader, FragmentKey, PacketKind};
use super::table::bucket_of;
use super::transfers::TransferCause;
use super::types::{DropReason, Route};
use crate::invariant;
use crate::names::{Name, VmId};
use crate::process::MemberState;
use crate::time::Millis;
use crate::version::Protocol;

/// The maximum number of times that a packet is forwarded between VMs.
const MAX_HOPS: u8 = 3;
/// The age from which a hint is renewed by forwarding the next packet through the owner.
const HINT_RENEWAL_AGE: Millis = Millis::from_secs(20);
/// The time within which an owner that has a different target revokes a hint being renewed.
const REVOCATION_TIME: Millis = Millis::from_secs(2);
/// The number of forwarded packets of a flow after which an owner sends a hint.
const FORWARDS_BEFORE_HINT: u8 = 3;
/// The maximum number of flows on base targets whose packets are counted for hints.
const MAX_COUNTED_FLOWS: usize = 8_192;
/// UDP flows without an entry stay on the base target for this time after their bucket became
/// unsettled.
const DATAGRAM_GRACE_PERIOD: Millis = Millis::from_secs(5);

/// The routing decision for a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Send to the target with this key.
    Deliver(u64),
    /// Send to the base target of the bucket.
    Base,
    /// Forward to another VM.
    Forward {
        to: u64,
        target: u64,
        record: bool,
    },
    Drop(DropReason),
}

/// A packet with the state on which its routing depends.
#[derive(Clone, Debug)]
struct Context {
    service: Name,
    flow: u64,
    bucket: usize,
    kind: PacketKind,
    header: ForwardHeader,
    /// The two owners of the flow and the next candidate.
    ranked: [u64; MAX_RANKED],
    /// Whether the view of this VM is up to date.
    fresh: bool,
    /// Whether the packet has not been forwarded to an owner yet.
    unseen_by_owners: bool,
}

impl Context {
    fn may_forward(&self) -> bool {
        self.header.hops < MAX_HOPS
    }
}

impl BucketRouter {
    /// Returns the next hop of a packet.
    pub fn route(&mut self, now: Millis, packet: &FlowPacket) -> Route {
        self.advance(now);
        let header = packet.forwarded.unwrap_or_default();
        let route = match packet.kind {
            PacketKind::FirstFragment { id, syn } => {
                let fragment = fragment_key(&packet.key, id);
                self.fragments.insert(now, fragment, packet.key);
                let kind = match packet.key.protocol {
                    Protocol::Udp => PacketKind::Datagram,
                    Protocol::Tcp if syn => PacketKind::Syn,
                    Protocol::Tcp => PacketKind::Data,
                };
                let owner = self.fragment_owner(&fragment, &header);
                owner.unwrap_or_else(|| self.route_flow(now, &packet.key, kind, header, 1))
            }
            kind => self.route_flow(now, &packet.key, kind, header, 0),
        };
        self.count_route(&route);
        route
    }

    /// Returns the next hop of a fragment without ports.
    pub fn route_fragment(
        &mut self,
        now: Millis,
        fragment: &FragmentKey,
        forwarded: Option<ForwardHeader>,
    ) -> Route {
        self.advance(now);
        let header = forwarded.unwrap_or_default();
        let route = match self.fragment_owner(fragment, &header) {
            Some(route) => route,
            None => match self.fragments.get(now, fragment) {
                // The target in the header applies only to the first fragment, so the flow is
                // looked up again.
                Some(key) => {
                    let header = ForwardHeader { target: 0, record: false, ..header };
                    let kind = match key.protocol {
                        Protocol::Udp => PacketKind::Datagram,
                        Protocol::Tcp => PacketKind::Data,
                    };
                    self.route_flow(now, &key, kind, header, 1)
                }
                None => Route::Drop(DropReason::NoFragment),
            },
        };
        self.count_route(&route);
        route
    }

    /// Returns the route to the VM that collects the fragments of a packet, for a fragment from the
    /// fabric.
    fn fragment_owner(&self, fragment: &FragmentKey, header: &ForwardHeader) -> Option<Route> {
        if header.hops > 0 {
            return None;
        }
        let [owner, ..] = self.owners.ranked(fragment_hash(fragment));
        let owner = self.owners.get(owner).filter(|owner| owner.hash != self.owners.me())?;
        let header = ForwardHeader { hops: 1, entry: self.owners.me(), target: 0, record: false };
        Some(Route::Peer { vm: owner.vm.clone(), address: owner.address, header })
    }

    fn route_flow(
        &mut self,
        now: Millis,
        key: &FlowKey,
        kind: PacketKind,
        header: ForwardHeader,
        fragment_hops: u8,
    ) -> Route {
        if self.document.is_none() {
            return Route::Drop(DropReason::NoDocument);
        }
        // Packets that were queued during a pause may belong to an earlier flow with the same
        // addresses. If they still matter, their senders have retransmitted them.
        if self.freshness.is_reading_backlog(now) {
            return Route::Drop(DropReason::Backlog);
        }
        let Some(service) = self.by_address.get(&key.service_address()).cloned() else {
            return Route::Drop(DropReason::NoService);
        };
        let flow = flow_hash(key);
        let bucket = bucket_of(flow);
        let fresh = self.is_view_fresh(now);
        let Some(table) = self.services.get(&service) else {
            return Route::Drop(DropReason::NoService);
        };
        if fresh && table.is_settled(bucket) {
            return deliver(&service, table.base(bucket));
        }
        let unseen_by_owners = header.hops <= fragment_hops;
        let ranked = self.owners.ranked(flow);
        let cx = Context { service, flow, bucket, kind, header, ranked, fresh, unseen_by_owners };
        let verdict = match kind {
            _ if header.record => self.record_forwarded_target(now, &cx),
            PacketKind::Syn => self.route_syn(now, &cx),
            _ => self.route_later_packet(now, &cx),
        };
        self.resolve(&cx, verdict)
    }

    /// Routes a SYN in an unsettled bucket.
    fn route_syn(&mut self, now: Millis, cx: &Context) -> Verdict {
        // A packet with two hops was forwarded here by a VM that considers this one the first
        // owner.
        if self.is_first_owner(cx) || cx.header.hops >= 2 {
            let second = cx.ranked[1];
            let known = self.live_entry(now, cx);
            let known =
                known.is_some_and(|own| own.in_syn_window(now) && !self.is_uncertain(now, &own));
            // After a pause this VM may not know that a target is draining or what other VMs
            // decided, so the second owner chooses the target.
            let delegates = !cx.fresh && !known && cx.ranked[0] == self.owners.me();
            if delegates && cx.may_forward() && self.is_responsive(second) {
                if self
                    .live_entry(now, cx)
                    .is_some_and(|own| own.hinted || own.state == State::Hint)
                {
                    self.revoke_hints(now, cx.flow);
                }
                self.flows.remove(cx.flow);
                // The second owner returns its decision with one more hop, if the limit allows it.
                let record = cx.header.hops + 2 <= MAX_HOPS;
                return Verdict::Forward { to: second, target: 0, record };
            }
            return self.decide(now, cx);
        }
        let known = self.live_entry(now, cx);
        if let Some(own) =
            known.filter(|own| own.in_syn_window(now) && !self.is_uncertain(now, own))
        {
            return Verdict::Forward { to: cx.ranked[0], target: own.target, record: true };
        }
        // The first owner may choose a different target than for an earlier flow with the same
        // addresses.
        if known.is_some_and(|own| own.state == State::Hint || !self.is_owner(cx)) {
            self.flows.remove(cx.flow);
        }
        Verdict::Forward { to: cx.ranked[0], target: 0, record: false }
    }

    /// Chooses the target of a new flow as its first owner, or in place of the first owner.
    fn decide(&mut self, now: Millis, cx: &Context) -> Verdict {
        let known = self.live_entry(now, cx);
        if let Some(entry) = known.filter(|entry| entry.in_syn_window(now)) {
            return self.forward_to_other_owner(cx, entry.target);
        }
        // If the target of an earlier flow with the same addresses is kept, hints for it stay
        // correct.
        let kept = known.filter(|entry| {
            let live = self.live_target(cx, entry.target);
            let hinted = entry.hinted || entry.state == State::Hint;
            hinted && live.is_some_and(|live| !live.target.draining)
        });
        let current =
            self.table(cx).and_then(|table| table.current(cx.bucket)).map(|live| live.key);
        let Some(target) = kept.map(|entry| entry.target).or(current) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        let hinted = known.is_some_and(|own| own.hinted || own.state == State::Hint);
        if kept.is_none() && hinted && !self.revoke_hints(now, cx.flow) {
            return Verdict::Drop(DropReason::Revoking);
        }
        self.counters.decided += 1;
        self.open_flow(now, cx, target, kept.is_some())
    }

    /// Records a new flow and forwards its packet to the other owner.
    fn open_flow(&mut self, now: Millis, cx: &Context, target: u64, hinted: bool) -> Verdict {
        let base = self.base(cx).map(|base| (base.key, base.target.draining));
        // A flow on its base target can be routed without an entry, so it must not evict others.
        if base == Some((target, false)) && self.flows.is_full() {
            self.counters.unrecorded += 1;
            return Verdict::Base;
        }
        // VMs with a hint send the packets after the SYN directly to the target. This VM can't
        // observe them, so it records the flow as established at once.
        let state = if hinted { State::Established } else { State::HalfOpen };
        let replaces = self.flows.get(now, cx.flow).is_some();
        if self.flows.insert(now, cx.flow, target, state).is_err() {
            let Some((_, false)) = base else { return Verdict::Drop(DropReason::TableFull) };
            self.counters.unrecorded += 1;
            return Verdict::Base;
        }
        if hinted {
            self.flows.set_hinted(cx.flow);
            self.repair_owners(cx);
        }
        if replaces || hinted {
            self.queue_for_joining_owners(cx);
        }
        self.forward_to_other_owner(cx, target)
    }

    /// Forwards a packet to the other owner, which records the target. If it can't be forwarded,
    /// queues a transfer of the entry and delivers the packet.
    fn forward_to_other_owner(&mut self, cx: &Context, target: u64) -> Verdict {
        let me = self.owners.me();
        if !self.is_owner(cx) {
            self.repair_owners(cx);
        }
        let second = cx.ranked[..2].iter().find(|owner| **owner != me && **owner != 0);
        let Some(second) = second.and_then(|second| self.owners.get(*second)) else {
            return Verdict::Deliver(target);
        };
        if cx.may_forward() && second.state != MemberState::Suspect {
            return Verdict::Forward { to: second.hash, target, record: true };
        }
        let vm = second.vm.clone();
        self.transfers.push(&vm, TransferCause::Repair, cx.flow);
        Verdict::Deliver(target)
    }

    /// Routes a packet whose sender asks this VM to record the target in the header, or to choose
    /// one if there is none.
    fn record_forwarded_target(&mut self, now: Millis, cx: &Context) -> Verdict {
        let target = cx.header.target;
        if target == 0 {
            // The view of the first owner is not up to date. It gets the decision back to record
            // it.
            return self.decide(now, cx);
        }
        let earlier = self.live_entry(now, cx).filter(|entry| entry.in_syn_window(now));
        if cx.kind == PacketKind::Syn
            && let Some(entry) = earlier.filter(|entry| entry.target != target)
        {
            // The other owner did not recognise a retransmitted SYN, for example after a change of
            // owners or a pause.
            let just_decided = entry.state == State::HalfOpen && entry.was_just_opened(now);
            let other = self.other_first_owner(cx).filter(|_| cx.may_forward());
            match other {
                Some(to) => return Verdict::Forward { to, target: entry.target, record: true },
                None if !just_decided => return Verdict::Deliver(entry.target),
                None => {}
            }
        }
        let known = self.flows.get(now, cx.flow).copied();
        let known = known.filter(|entry| entry.target == target && entry.state != State::Hint);
        let state = match (cx.kind, known.map(|entry| entry.state)) {
            (PacketKind::Syn, Some(State::Established)) if earlier.is_some() => State::Established,
            (PacketKind::Syn, _) => State::HalfOpen,
            (PacketKind::Fin | PacketKind::Rst, _) => State::Closing,
            (PacketKind::Datagram, None) => State::HalfOpen,
            (PacketKind::Datagram, Some(_)) => State::Datagram,
            _ => State::Established,
        };
        match known {
            Some(entry) if entry.state == state => {
                self.flows.touch(now, cx.flow);
            }
            Some(_) if state != State::HalfOpen => {
                self.flows.touch(now, cx.flow);
                self.flows.set_state(now, cx.flow, state);
            }
            _ if self.flows.insert(now, cx.flow, target, state).is_err() => {
                self.counters.unrecorded += 1;
            }
            _ => {}
        }
        if state != State::HalfOpen {
            self.queue_for_joining_owners(cx);
        }
        if self.live_target(cx, target).is_some() {
            return Verdict::Deliver(target);
        }
        // The first owner has a newer document with the address of the target.
        match cx.may_forward() && !self.is_first_owner(cx) {
            true => Verdict::Forward { to: cx.ranked[0], target: 0, record: false },
            false => Verdict::Drop(DropReason::NoTarget),
        }
    }

    /// Routes a packet other than a SYN in an unsettled bucket.
    fn route_later_packet(&mut self, now: Millis, cx: &Context) -> Verdict {
        if let Some(entry) = self.live_entry(now, cx) {
            if let Some(own) = self.flows.touch(now, cx.flow) {
                own.seen_after_syn = true;
            }
            return self.route_known_flow(now, cx, entry);
        }
        if cx.header.target != 0 && self.live_target(cx, cx.header.target).is_some() {
            return self.route_by_header_target(now, cx);
        }
        match cx.kind {
            PacketKind::Datagram => self.route_unknown_datagram(now, cx),
            _ => self.route_unknown_tcp(now, cx),
        }
    }

    fn route_known_flow(&mut self, now: Millis, cx: &Context, entry: Entry) -> Verdict {
        let target = entry.target;
        let first = self.is_first_owner(cx);
        let other = if first { cx.ranked[1] } else { cx.ranked[0] };
        let closes = matches!(cx.kind, PacketKind::Fin | PacketKind::Rst);
        let uncertain = entry.state != State::Hint && self.is_uncertain(now, &entry) && !closes;
        if uncertain && self.is_owner(cx) && cx.may_forward() && self.is_responsive(other) {
            let header_target = if cx.header.target == 0 { target } else { cx.header.target };
            return Verdict::Forward { to: other, target: header_target, record: false };
        }
        match cx.header.target {
            0 => {}
            // The sender has a hint, possibly from a former owner.
            header_target if header_target == target => self.flows.set_hinted(cx.flow),
            // The sender may have an outdated hint, or be the other owner with an outdated entry.
            _ => {
                self.revoke_entry_vm_hint(cx);
                self.repair_owners(cx);
            }
        }
        let forward_to_first = Verdict::Forward { to: cx.ranked[0], target, record: false };
        let owner = self.is_owner(cx);
        if entry.state == State::Hint {
            return self.route_hinted_flow(now, cx, entry, closes);
        }
        // The owners may have chosen a new target since this VM was one of them. If the first owner
        // is lost, the second one has the entry.
        if !owner && cx.header.hops <= 1 {
            let responsive = cx.ranked[..2].iter().find(|owner| self.is_responsive(**owner));
            if let Some(to) = responsive.copied() {
                return Verdict::Forward { to, target, record: false };
            }
        }
        // The next flow with the same addresses may have been opened at an owner that this VM does
        // not know of.
        let closed = entry.state == State::Closing && !closes && !first;
        if closed && cx.unseen_by_owners && cx.may_forward() && self.is_responsive(cx.ranked[0]) {
            return forward_to_first;
        }
        if closes {
            self.flows.set_state(now, cx.flow, State::Closing);
            self.queue_for_joining_owners(cx);
            if entry.hinted && first {
                self.revoke_hints_if_draining(now, cx, target);
            }
        }
        let establishes = entry.state == State::HalfOpen && !self.needs_no_entry(cx, target);
        if establishes && !closes {
            let state = match cx.kind {
                PacketKind::Datagram => State::Datagram,
                _ => State::Established,
            };
            self.flows.set_state(now, cx.flow, state);
            self.queue_for_joining_owners(cx);
        }
        if closes || establishes {
            if first {
                return self.forward_to_other_owner(cx, target);
            }
            if cx.unseen_by_owners && cx.may_forward() && self.is_responsive(cx.ranked[0]) {
                return forward_to_first;
            }
        }
        // Only the first owner sends hints, because it has to revoke them when the addresses are
        // reused. A half-open entry could expire before them.
        let is_lasting = matches!(entry.state, State::Established | State::Datagram);
        if first && is_lasting && !closes {
            self.send_hint_when_due(now, cx, target);
        }
        if !first && !cx.unseen_by_owners && cx.header.target == 0 {
            self.repair_owners(cx);
        }
        Verdict::Deliver(target)
    }

    fn route_hinted_flow(
        &mut self,
        now: Millis,
        cx: &Context,
        entry: Entry,
        closes: bool,
    ) -> Verdict {
        let target = entry.target;
        let first = self.is_first_owner(cx);
        let next = if first { cx.ranked[1] } else { cx.ranked[0] };
        let age = now.since(entry.opened());
        let stale = age >= HINT_RENEWAL_AGE;
        let needs_confirmation =
            stale || !cx.fresh || entry.renewal_pending && age < REVOCATION_TIME;
        let confirm =
            (needs_confirmation || closes) && cx.may_forward() && self.is_responsive(next);
        if closes && !first {
            self.flows.remove(cx.flow);
        } else if closes {
            self.flows.set_hinted(cx.flow);
            self.revoke_hints_if_draining(now, cx, target);
        } else if confirm && stale {
            self.flows.renew(now, cx.flow);
        }
        if confirm {
            return Verdict::Forward { to: next, target, record: false };
        }
        if first && !closes {
            self.send_hint_when_due(now, cx, target);
        }
        Verdict::Deliver(target)
    }

    /// Routes a packet without an entry here by the target that its sender put in the header.
    fn route_by_header_target(&mut self, now: Millis, cx: &Context) -> Verdict {
        let target = cx.header.target;
        let on_base = self.base(cx).is_some_and(|base| base.key == target);
        let state = match cx.kind {
            PacketKind::Datagram => State::Datagram,
            PacketKind::Fin | PacketKind::Rst => State::Closing,
            _ if on_base => State::Hint,
            _ => State::Established,
        };
        if !self.is_owner(cx) {
            return match cx.may_forward() {
                true => Verdict::Forward { to: cx.ranked[0], target, record: false },
                false => Verdict::Deliver(target),
            };
        }
        let recorded = self.flows.insert(now, cx.flow, target, state).is_ok();
        if recorded && let Some(entry) = self.flows.touch(now, cx.flow) {
            entry.hinted = true;
        }
        if state != State::Hint {
            self.queue_for_joining_owners(cx);
        }
        if !self.is_first_owner(cx) {
            return Verdict::Deliver(target);
        }
        let second = cx.ranked[1];
        match state {
            // The second owner may have a later decision.
            State::Hint if cx.may_forward() && self.is_responsive(second) => {
                Verdict::Forward { to: second, target, record: false }
            }
            State::Hint => Verdict::Deliver(target),
            _ => self.forward_to_other_owner(cx, target),
        }
    }

    /// Routes a TCP packet of a flow without an entry here.
    fn route_unknown_tcp(&mut self, now: Millis, cx: &Context) -> Verdict {
        let forward = |to: u64| Verdict::Forward { to, target: 0, record: false };
        let [first, second, third] = cx.ranked;
        if !self.synced {
            // Without the generations, neither the base target nor the entry of the flow can be
            // determined.
            return match cx.may_forward() && self.is_responsive(first) {
                true => forward(first),
                false => Verdict::Drop(DropReason::NotReady),
            };
        }
        let complete = self.owners_have_all_entries(now);
        if !cx.may_forward() || first == 0 {
            self.counters.uncertain += u64::from(!complete);
            return Verdict::Base;
        }
        let me = self.owners.me();
        if me == first {
            return if self.is_responsive(second) {
                forward(second)
            } else {
                self.deliver_uncertain_to_base(cx)
            };
        }
        if me != second {
            return forward(if self.is_responsive(first) || second == 0 { first } else { second });
        }
        if cx.unseen_by_owners && self.is_responsive(first) {
            return forward(first);
        }
        if !complete && self.is_responsive(third) {
            return forward(third);
        }
        self.count_base_packet(cx);
        if complete { Verdict::Base } else { self.deliver_uncertain_to_base(cx) }
    }

    fn deliver_uncertain_to_base(&mut self, cx: &Context) -> Verdict {
        // Without a second owner, no other VM can have an entry.
        self.counters.uncertain += u64::from(cx.ranked[1] != 0);
        Verdict::Base
    }

    /// Routes a datagram of a flow without an entry here.
    fn route_unknown_datagram(&mut self, now: Millis, cx: &Context) -> Verdict {
        let [first, second, _] = cx.ranked;
        let me = self.owners.me();
        let try_first = me != first && first != 0 && (me != second || cx.unseen_by_owners);
        if try_first && cx.may_forward() && self.is_responsive(first) {
            return Verdict::Forward { to: first, target: 0, record: false };
        }
        let try_second = me == first && !self.owners_have_all_entries(now) && cx.may_forward();
        if try_second && self.is_responsive(second) {
            return Verdict::Forward { to: second, target: 0, record: false };
        }
        let Some(table) = self.table(cx) else { return Verdict::Drop(DropReason::NoTarget) };
        let since = table.unsettled_since(cx.bucket);
        let in_grace_period = since.is_none_or(|since| now.since(since) < DATAGRAM_GRACE_PERIOD);
        let base = table.base(cx.bucket).filter(|_| in_grace_period || !cx.fresh);
        let Some(target) = base.or_else(|| table.current(cx.bucket)).map(|live| live.key) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        self.counters.decided += 1;
        self.open_flow(now, cx, target, false)
    }

    fn resolve(&mut self, cx: &Context, verdict: Verdict) -> Route {
        match verdict {
            Verdict::Deliver(target) => deliver(&cx.service, self.live_target(cx, target)),
            Verdict::Base => deliver(&cx.service, self.base(cx)),
            Verdict::Drop(reason) => Route::Drop(reason),
            Verdict::Forward { to, target, record } => {
                let me = self.owners.me();
                let Some(peer) = self.owners.get(to).filter(|peer| peer.hash != me) else {
                    return deliver(&cx.service, self.base(cx));
                };
                let hops = cx.header.hops + 1;
                invariant!(hops <= MAX_HOPS, "packet forwarded {hops} times, limit is {MAX_HOPS}");
                let entry = if cx.header.hops == 0 { me } else { cx.header.entry };
                let header = ForwardHeader { hops, entry, target, record };
                Route::Peer { vm: peer.vm.clone(), address: peer.address, header }
            }
        }
    }

    fn count_route(&mut self, route: &Route) {
        let counters = &mut self.counters;
        match route {
            Route::Target { .. } => counters.to_targets += 1,
            Route::Peer { .. } => counters.to_peers += 1,
            Route::Drop(reason) => {
                counters.dropped += 1;
                match reason {
                    DropReason::NoService => counters.dropped_no_service += 1,
                    DropReason::TableFull => counters.dropped_table_full += 1,
                    DropReason::NoFragment => counters.dropped_no_fragment += 1,
                    DropReason::Backlog => counters.dropped_backlog += 1,
                    DropReason::Revoking => counters.dropped_revoking += 1,
                    DropReason::NoDocument | DropReason::NoTarget | DropReason::NotReady => {}
                }
            }
        }
    }

    fn table(&self, cx: &Context) -> Option<&ServiceTable> {
        self.services.get(&cx.service)
    }

    fn live_target(&self, cx: &Context, target: u64) -> Option<&LiveTarget> {
        self.table(cx).and_then(|table| table.by_key(target))
    }

    fn base(&self, cx: &Context) -> Option<&LiveTarget> {
        self.table(cx).and_then(|table| table.base(cx.bucket))
    }

    /// Returns the entry of the flow if its target is in the document.
    fn live_entry(&self, now: Millis, cx: &Context) -> Option<Entry> {
        let entry = self.flows.get(now, cx.flow).copied();
        entry.filter(|entry| self.live_target(cx, entry.target).is_some())
    }

    fn is_first_owner(&self, cx: &Context) -> bool {
        cx.ranked[0] == 0 || cx.ranked[0] == self.owners.me()
    }

    fn is_owner(&self, cx: &Context) -> bool {
        self.is_first_owner(cx) || cx.ranked[1] == self.owners.me()
    }

    /// Returns the first owner if it is another VM, which may be one that this VM still considers
    /// joining.
    fn other_first_owner(&self, cx: &Context) -> Option<u64> {
        let [future_first, _] = self.owners.future_owners(cx.flow);
        let first_owners = [cx.ranked[0], future_first];
        first_owners.into_iter().find(|first| *first != 0 && *first != self.owners.me())
    }

    /// Returns whether an entry may be outdated, because other VMs were owners during a pause of
    /// this VM or until recently.
    fn is_uncertain(&self, now: Millis, entry: &Entry) -> bool {
        let backlog = self.freshness.backlog_end();
        let before_backlog_end = backlog.is_some_and(|end| entry.opened() < end);
        (before_backlog_end || entry.transferred) && !self.owners_have_all_entries(now)
    }

    /// Returns whether a VM is another reachable member that is not suspect.
    fn is_responsive(&self, vm: u64) -> bool {
        let peer = self.owners.get(vm).filter(|peer| peer.hash != self.owners.me());
        peer.is_some_and(|peer| peer.state != MemberState::Suspect)
    }

    /// Returns whether every VM routes a TCP flow to this target without an entry.
    fn needs_no_entry(&self, cx: &Context, target: u64) -> bool {
        let on_base = self.base(cx).is_some_and(|base| base.key == target);
        let base_unconfirmed =
            self.table(cx).is_some_and(|table| table.is_base_unconfirmed(cx.bucket));
        on_base && !base_unconfirmed && cx.fresh && cx.kind != PacketKind::Datagram
    }

    /// Sends a hint to the VM that forwards the packets of a flow, after [`FORWARDS_BEFORE_HINT`]
    /// packets and within the rate limit.
    fn send_hint_when_due(&mut self, now: Millis, cx: &Context, target: u64) {
        let message = FlowMessage::Hint { flow: cx.flow, target };
        let me = self.owners.me();
        let complete = self.owners_have_all_entries(now);
        let entry = self.owners.get(cx.header.entry);
        let Some(peer) = entry.filter(|peer| complete && peer.hash != me) else { return };
        let Some(entry) = self.flows.touch(now, cx.flow) else { return };
        entry.forwards_since_hint = entry.forwards_since_hint.saturating_add(1);
        if entry.forwards_since_hint < FORWARDS_BEFORE_HINT
            || !self.hint_budget.try_spend(message.wire_bytes())
        {
            return;
        }
        entry.forwards_since_hint = 0;
        entry.hinted = true;
        let vm = peer.vm.clone();
        self.send(&vm, message);
    }

    /// Counts the packets of a flow that this VM sends to the base target as second owner. After
    /// [`FORWARDS_BEFORE_HINT`] packets, sends the first owner a hint so that it no longer forwards
    /// them here.
    fn count_base_packet(&mut self, cx: &Context) {
        let Some(target) = self.base(cx).map(|base| base.key) else { return };
        if self.base_packet_counts.len() >= MAX_COUNTED_FLOWS {
            self.base_packet_counts.clear();
        }
        let count = self.base_packet_counts.entry(cx.flow).or_default();
        *count += 1;
        if *count < FORWARDS_BEFORE_HINT {
            return;
        }
        let message = FlowMessage::Hint { flow: cx.flow, target };
        let Some(first) = self.owners.get(cx.ranked[0]).map(|first| first.vm.clone()) else {
            return;
        };
        if self.hint_budget.try_spend(message.wire_bytes()) {
            self.base_packet_counts.remove(&cx.flow);
            self.send(&first, message);
        }
    }

    /// Revokes the hints for a flow. Returns whether every peer has confirmed or the wait is over.
    /// Until then, SYNs are dropped, and the client retransmits them.
    fn revoke_hints(&mut self, now: Millis, flow: u64) -> bool {
        let peers: Vec<VmId> = self.owners.peers().map(|peer| peer.vm.clone()).collect();
        let unconfirmed = self.revocations.revoke(now, flow, peers);
        for vm in &unconfirmed {
            self.send_forget(vm, flow);
        }
        unconfirmed.is_empty()
    }

    /// Revokes the hints for a flow that closes on a draining target, because the next flow with
    /// the same addresses goes to another target.
    fn revoke_hints_if_draining(&mut self, now: Millis, cx: &Context, target: u64) {
        if self.live_target(cx, target).is_some_and(|live| live.target.draining) {
            self.revoke_hints(now, cx.flow);
        }
    }

    /// Revokes the hint of the VM that received the packet from the fabric.
    fn revoke_entry_vm_hint(&mut self, cx: &Context) {
        let Some(vm) = self.owners.get(cx.header.entry).map(|peer| peer.vm.clone()) else { return };
        self.send_forget(&vm, cx.flow);
    }

    /// Sends a revocation even if it exceeds the rate limit. New hints wait until the budget is
    /// refilled.
    fn send_forget(&mut self, vm: &VmId, flow: u64) {
        let message = FlowMessage::Forget { flow };
        self.hint_budget.spend(message.wire_bytes());
        self.send(vm, message);
    }

    /// Queues a transfer of an entry to owners that may lack it.
    fn repair_owners(&mut self, cx: &Context) {
        for owner in &cx.ranked[..2] {
            if !self.is_responsive(*owner) {
                continue;
            }
            if let Some(vm) = self.owners.get(*owner).map(|owner| owner.vm.clone()) {
                self.transfers.push(&vm, TransferCause::Repair, cx.flow);
            }
        }
    }

    /// Queues a transfer of an entry to members that will own it after joining.
    fn queue_for_joining_owners(&mut self, cx: &Context) {
        for owner in self.owners.future_owners(cx.flow) {
            let joining = self.owners.get(owner).filter(|peer| peer.state == MemberState::Joining);
            if let Some(vm) = joining.map(|peer| peer.vm.clone()) {
                self.transfers.push(&vm, TransferCause::Planned, cx.flow);
            }
        }
    }
}

fn deliver(service: &Name, live: Option<&LiveTarget>) -> Route {
    let Some(live) = live else { return Route::Drop(DropReason::NoTarget) };
    Route::Target {
        service: service.clone(),
        target: live.target.name.clone(),
        address: live.target.address,
    }
}

/// Returns the key of the packet that a first fragment belongs to.
fn fragment_key(key: &FlowKey, id: u32) -> FragmentKey {
    const TCP: u8 = 6;
    const UDP: u8 = 17;
    let protocol = match key.protocol {
        Protocol::Tcp => TCP,
        Protocol::Udp => UDP,
    };
    FragmentKey { source: key.source.ip(), destination: key.destination.ip(), protocol, id }
}
