//! The rules by which a packet is routed.

use super::exceptions::{Entry, State};
use super::generations::{ServiceTable, Slot};
use super::hash::{flow_hash, fragment_hash};
use super::messages::FlowMessage;
use super::owners::RANKS;
use super::packet::{FlowKey, FlowPacket, ForwardHeader, FragmentKey, PacketKind};
use super::router::Router;
use super::table::bucket_of;
use super::transfers::Cause;
use super::types::{DropReason, Route};
use crate::invariant;
use crate::names::{Name, VmId};
use crate::process::MemberState;
use crate::time::Millis;
use crate::version::Protocol;

/// The most VMs that pass a packet on.
const MAX_HOPS: u8 = 3;
/// A hint that is older is confirmed by sending the next packet through the owner.
const RENEW_SPAN: Millis = Millis::from_secs(20);
/// An owner that disagrees with a hint revokes it within this span.
const ANSWER_SPAN: Millis = Millis::from_secs(2);
/// Forwarded packets of a flow before an owner sends a hint.
const HINT_AFTER: u8 = 3;
/// The most flows on base targets whose packets are counted for hints.
const MAX_COUNTED: usize = 8_192;
/// Unknown UDP flows stay on the base target for this span after their bucket became unsettled.
const DATAGRAM_GRACE: Millis = Millis::from_secs(5);

/// What a rule decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// To the target with this key.
    Deliver(u64),
    /// To the base target of the bucket.
    Base,
    /// To another VM.
    Pass {
        to: u64,
        target: u64,
        record: bool,
    },
    Drop(DropReason),
}

/// A packet with what the rules need to know.
#[derive(Clone, Debug)]
struct Context {
    service: Name,
    flow: u64,
    bucket: usize,
    kind: PacketKind,
    header: ForwardHeader,
    /// The owners and the next candidate.
    rank: [u64; RANKS],
    /// Whether this VM may rely on its own tables.
    trusted: bool,
    /// Whether no owner has seen the packet yet.
    unasked: bool,
}

impl Context {
    fn may_pass(&self) -> bool {
        self.header.hops < MAX_HOPS
    }
}

impl Router {
    /// Decides where a packet goes.
    pub fn route(&mut self, now: Millis, packet: &FlowPacket) -> Route {
        self.run(now);
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
        self.count(&route);
        route
    }

    /// Decides where a fragment without ports goes.
    pub fn route_fragment(
        &mut self,
        now: Millis,
        fragment: &FragmentKey,
        forwarded: Option<ForwardHeader>,
    ) -> Route {
        self.run(now);
        let header = forwarded.unwrap_or_default();
        let route = match self.fragment_owner(fragment, &header) {
            Some(route) => route,
            None => match self.fragments.get(now, fragment) {
                // The header tells of the first fragment only, so the flow is looked up again.
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
        self.count(&route);
        route
    }

    /// Sends a fragment that came from the fabric to the VM where all fragments of its packet meet.
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
        // Packets that waited during a pause may be older than the present flow of their addresses, and
        // their senders have repeated what matters.
        if self.freshness.reads_backlog(now) {
            return Route::Drop(DropReason::Backlog);
        }
        let Some(service) = self.by_address.get(&key.service_address()).cloned() else {
            return Route::Drop(DropReason::NoService);
        };
        let flow = flow_hash(key);
        let bucket = bucket_of(flow);
        let trusted = self.is_trusted(now);
        let Some(table) = self.services.get(&service) else {
            return Route::Drop(DropReason::NoService);
        };
        if trusted && table.is_settled(bucket) {
            return deliver(&service, table.base(bucket));
        }
        let unasked = header.hops <= fragment_hops;
        let rank = self.owners.ranked(flow);
        let cx = Context { service, flow, bucket, kind, header, rank, trusted, unasked };
        let verdict = match kind {
            _ if header.record => self.record(now, &cx),
            PacketKind::Syn => self.syn(now, &cx),
            _ => self.later_packet(now, &cx),
        };
        self.finish(&cx, verdict)
    }

    /// Decides a SYN in an unsettled bucket.
    fn syn(&mut self, now: Millis, cx: &Context) -> Verdict {
        // A packet that was passed on twice comes from a VM that takes this one for the first owner.
        if self.is_first(cx) || cx.header.hops >= 2 {
            let second = cx.rank[1];
            let known = self.known(now, cx);
            let known =
                known.is_some_and(|own| own.is_opening(now) && !self.is_doubtful(now, &own));
            // After a pause this VM may not know that a target is draining, nor what others decided.
            let hands_over = !cx.trusted && !known && cx.rank[0] == self.owners.me();
            if hands_over && cx.may_pass() && self.is_answering(second) {
                if self.known(now, cx).is_some_and(|own| own.hinted || own.state == State::Hint) {
                    self.revoke_hints(now, cx.flow);
                }
                self.flows.remove(cx.flow);
                // The decision takes one more hop and comes back on another, if there is one left.
                let record = cx.header.hops + 2 <= MAX_HOPS;
                return Verdict::Pass { to: second, target: 0, record };
            }
            return self.decide(now, cx);
        }
        let known = self.known(now, cx);
        if let Some(own) = known.filter(|own| own.is_opening(now) && !self.is_doubtful(now, own)) {
            return Verdict::Pass { to: cx.rank[0], target: own.target, record: true };
        }
        // The owner may decide otherwise than for an earlier flow of the same addresses.
        if known.is_some_and(|own| own.state == State::Hint || !self.is_owner(cx)) {
            self.flows.remove(cx.flow);
        }
        Verdict::Pass { to: cx.rank[0], target: 0, record: false }
    }

    /// Decides the target of a new flow as its first owner.
    fn decide(&mut self, now: Millis, cx: &Context) -> Verdict {
        let known = self.known(now, cx);
        if let Some(entry) = known.filter(|entry| entry.is_opening(now)) {
            return self.pass_to_second(cx, entry.target);
        }
        // Hints for an earlier flow of the same addresses stay true if its target is kept.
        let kept = known.filter(|entry| {
            let slot = self.slot(cx, entry.target);
            let hinted = entry.hinted || entry.state == State::Hint;
            hinted && slot.is_some_and(|slot| !slot.target.draining)
        });
        let current =
            self.table(cx).and_then(|table| table.current(cx.bucket)).map(|slot| slot.key);
        let Some(target) = kept.map(|entry| entry.target).or(current) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        let hinted = known.is_some_and(|own| own.hinted || own.state == State::Hint);
        if kept.is_none() && hinted && !self.revoke_hints(now, cx.flow) {
            return Verdict::Drop(DropReason::Revoking);
        }
        self.counters.decided += 1;
        self.place(now, cx, target, kept.is_some())
    }

    /// Records a new flow and passes it to the second owner.
    fn place(&mut self, now: Millis, cx: &Context, target: u64, hinted: bool) -> Verdict {
        let base = self.base(cx).map(|base| (base.key, base.target.draining));
        // A flow on its base target is found without an entry, so it must not displace others.
        if base == Some((target, false)) && self.flows.is_full() {
            self.counters.unrecorded += 1;
            return Verdict::Base;
        }
        // Where a hint is held, the packets after the SYN do not come here.
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
            self.tell_joining(cx);
        }
        self.pass_to_second(cx, target)
    }

    /// Passes a packet to the other owner, which records the target.
    fn pass_to_second(&mut self, cx: &Context, target: u64) -> Verdict {
        let me = self.owners.me();
        if !self.is_owner(cx) {
            self.repair_owners(cx);
        }
        let second = cx.rank[..2].iter().find(|owner| **owner != me && **owner != 0);
        let Some(second) = second.and_then(|second| self.owners.get(*second)) else {
            return Verdict::Deliver(target);
        };
        if cx.may_pass() && second.state != MemberState::Suspect {
            return Verdict::Pass { to: second.hash, target, record: true };
        }
        let vm = second.vm.clone();
        self.transfers.push(&vm, Cause::Repair, cx.flow);
        Verdict::Deliver(target)
    }

    /// Records what the first owner decided.
    fn record(&mut self, now: Millis, cx: &Context) -> Verdict {
        let target = cx.header.target;
        if target == 0 {
            // The first owner is not fresh. It gets the decision back to record it.
            return self.decide(now, cx);
        }
        let earlier = self.known(now, cx).filter(|entry| entry.is_opening(now));
        if cx.kind == PacketKind::Syn
            && let Some(entry) = earlier.filter(|entry| entry.target != target)
        {
            // The other owner does not know that the SYN is a retransmission, as after a change of owners
            // or a pause.
            let decided_now = entry.state == State::HalfOpen && entry.is_new(now);
            let other = self.other_first(cx).filter(|_| cx.may_pass());
            match other {
                Some(to) => return Verdict::Pass { to, target: entry.target, record: true },
                None if !decided_now => return Verdict::Deliver(entry.target),
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
            self.tell_joining(cx);
        }
        if self.slot(cx, target).is_some() {
            return Verdict::Deliver(target);
        }
        // The first owner has a newer document, and knows the address of the target.
        match cx.may_pass() && !self.is_first(cx) {
            true => Verdict::Pass { to: cx.rank[0], target: 0, record: false },
            false => Verdict::Drop(DropReason::NoTarget),
        }
    }

    /// Routes a packet of a flow that may be open, in an unsettled bucket.
    fn later_packet(&mut self, now: Millis, cx: &Context) -> Verdict {
        if let Some(entry) = self.known(now, cx) {
            if let Some(own) = self.flows.touch(now, cx.flow) {
                own.answered = true;
            }
            return self.known_flow(now, cx, entry);
        }
        if cx.header.target != 0 && self.slot(cx, cx.header.target).is_some() {
            return self.believed_flow(now, cx);
        }
        match cx.kind {
            PacketKind::Datagram => self.unknown_datagram(now, cx),
            _ => self.unknown_flow(now, cx),
        }
    }

    fn known_flow(&mut self, now: Millis, cx: &Context, entry: Entry) -> Verdict {
        let target = entry.target;
        let first = self.is_first(cx);
        let other = if first { cx.rank[1] } else { cx.rank[0] };
        let closes = matches!(cx.kind, PacketKind::Fin | PacketKind::Rst);
        let doubtful = entry.state != State::Hint && self.is_doubtful(now, &entry) && !closes;
        if doubtful && self.is_owner(cx) && cx.may_pass() && self.is_answering(other) {
            let believed = if cx.header.target == 0 { target } else { cx.header.target };
            return Verdict::Pass { to: other, target: believed, record: false };
        }
        match cx.header.target {
            0 => {}
            // Another VM holds a hint, perhaps from an earlier owner.
            believed if believed == target => self.flows.set_hinted(cx.flow),
            // The sender may hold an old hint, or be the other owner with an older entry.
            _ => {
                self.revoke(cx);
                self.repair_owners(cx);
            }
        }
        let ask_first = Verdict::Pass { to: cx.rank[0], target, record: false };
        let owner = self.is_owner(cx);
        if entry.state == State::Hint {
            return self.hinted_flow(now, cx, entry, closes);
        }
        // The owners may have decided again since this VM was one of them.
        // When the first one is lost, the second one knows.
        if !owner && cx.header.hops <= 1 {
            let answering = cx.rank[..2].iter().find(|owner| self.is_answering(**owner));
            if let Some(to) = answering.copied() {
                return Verdict::Pass { to, target, record: false };
            }
        }
        // The next flow of the same addresses may have been opened at an owner that is unknown here.
        let closed = entry.state == State::Closing && !closes && !first;
        if closed && cx.unasked && cx.may_pass() && self.is_answering(cx.rank[0]) {
            return ask_first;
        }
        if closes {
            self.flows.set_state(now, cx.flow, State::Closing);
            self.tell_joining(cx);
            if entry.hinted && first {
                self.forget_draining(now, cx, target);
            }
        }
        let opens = entry.state == State::HalfOpen && !self.needs_no_entry(cx, target);
        if opens && !closes {
            let state = match cx.kind {
                PacketKind::Datagram => State::Datagram,
                _ => State::Established,
            };
            self.flows.set_state(now, cx.flow, state);
            self.tell_joining(cx);
        }
        if closes || opens {
            if first {
                return self.pass_to_second(cx, target);
            }
            if cx.unasked && cx.may_pass() && self.is_answering(cx.rank[0]) {
                return ask_first;
            }
        }
        // Only the first owner gives hints, because it has to know of them when the addresses are reused.
        // A half-open entry would not outlive them.
        let lasts = matches!(entry.state, State::Established | State::Datagram);
        if first && lasts && !closes {
            self.hint(now, cx, target);
        }
        if !first && !cx.unasked && cx.header.target == 0 {
            self.repair_owners(cx);
        }
        Verdict::Deliver(target)
    }

    fn hinted_flow(&mut self, now: Millis, cx: &Context, entry: Entry, closes: bool) -> Verdict {
        let target = entry.target;
        let first = self.is_first(cx);
        let next = if first { cx.rank[1] } else { cx.rank[0] };
        let age = now.since(entry.opened());
        let stale = age >= RENEW_SPAN;
        let unsure = stale || !cx.trusted || entry.is_asking && age < ANSWER_SPAN;
        let ask = (unsure || closes) && cx.may_pass() && self.is_answering(next);
        if closes && !first {
            self.flows.remove(cx.flow);
        } else if closes {
            self.flows.set_hinted(cx.flow);
            self.forget_draining(now, cx, target);
        } else if ask && stale {
            self.flows.renew(now, cx.flow);
        }
        if ask {
            return Verdict::Pass { to: next, target, record: false };
        }
        if first && !closes {
            self.hint(now, cx, target);
        }
        Verdict::Deliver(target)
    }

    /// Routes a packet whose sender holds a hint while this VM has no entry.
    fn believed_flow(&mut self, now: Millis, cx: &Context) -> Verdict {
        let target = cx.header.target;
        let on_base = self.base(cx).is_some_and(|base| base.key == target);
        let state = match cx.kind {
            PacketKind::Datagram => State::Datagram,
            PacketKind::Fin | PacketKind::Rst => State::Closing,
            _ if on_base => State::Hint,
            _ => State::Established,
        };
        if !self.is_owner(cx) {
            return match cx.may_pass() {
                true => Verdict::Pass { to: cx.rank[0], target, record: false },
                false => Verdict::Deliver(target),
            };
        }
        let recorded = self.flows.insert(now, cx.flow, target, state).is_ok();
        if recorded && let Some(entry) = self.flows.touch(now, cx.flow) {
            entry.hinted = true;
        }
        if state != State::Hint {
            self.tell_joining(cx);
        }
        if !self.is_first(cx) {
            return Verdict::Deliver(target);
        }
        let second = cx.rank[1];
        match state {
            // The second owner may know of a later decision.
            State::Hint if cx.may_pass() && self.is_answering(second) => {
                Verdict::Pass { to: second, target, record: false }
            }
            State::Hint => Verdict::Deliver(target),
            _ => self.pass_to_second(cx, target),
        }
    }

    /// Routes a TCP packet of a flow that this VM does not know.
    fn unknown_flow(&mut self, now: Millis, cx: &Context) -> Verdict {
        let pass = |to: u64| Verdict::Pass { to, target: 0, record: false };
        let [first, second, third] = cx.rank;
        if !self.synced {
            // Without the generations this VM knows neither the base nor whether the flow is an exception.
            return match cx.may_pass() && self.is_answering(first) {
                true => pass(first),
                false => Verdict::Drop(DropReason::NotReady),
            };
        }
        let complete = self.is_complete(now);
        if !cx.may_pass() || first == 0 {
            self.counters.uncertain += u64::from(!complete);
            return Verdict::Base;
        }
        let me = self.owners.me();
        if me == first {
            return if self.is_answering(second) { pass(second) } else { self.unknown_at_last(cx) };
        }
        if me != second {
            return pass(if self.is_answering(first) || second == 0 { first } else { second });
        }
        if cx.unasked && self.is_answering(first) {
            return pass(first);
        }
        if !complete && self.is_answering(third) {
            return pass(third);
        }
        self.count_base_packet(cx);
        if complete { Verdict::Base } else { self.unknown_at_last(cx) }
    }

    fn unknown_at_last(&mut self, cx: &Context) -> Verdict {
        // A single VM knows all flows.
        self.counters.uncertain += u64::from(cx.rank[1] != 0);
        Verdict::Base
    }

    /// Routes a datagram of a flow that this VM does not know.
    fn unknown_datagram(&mut self, now: Millis, cx: &Context) -> Verdict {
        let [first, second, _] = cx.rank;
        let me = self.owners.me();
        let asks_first = me != first && first != 0 && (me != second || cx.unasked);
        if asks_first && cx.may_pass() && self.is_answering(first) {
            return Verdict::Pass { to: first, target: 0, record: false };
        }
        let asks_second = me == first && !self.is_complete(now) && cx.may_pass();
        if asks_second && self.is_answering(second) {
            return Verdict::Pass { to: second, target: 0, record: false };
        }
        let Some(table) = self.table(cx) else { return Verdict::Drop(DropReason::NoTarget) };
        let since = table.unsettled_since(cx.bucket);
        let young = since.is_none_or(|since| now.since(since) < DATAGRAM_GRACE);
        let base = table.base(cx.bucket).filter(|_| young || !cx.trusted);
        let Some(target) = base.or_else(|| table.current(cx.bucket)).map(|slot| slot.key) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        self.counters.decided += 1;
        self.place(now, cx, target, false)
    }

    fn finish(&mut self, cx: &Context, verdict: Verdict) -> Route {
        match verdict {
            Verdict::Deliver(target) => deliver(&cx.service, self.slot(cx, target)),
            Verdict::Base => deliver(&cx.service, self.base(cx)),
            Verdict::Drop(reason) => Route::Drop(reason),
            Verdict::Pass { to, target, record } => {
                let me = self.owners.me();
                let Some(peer) = self.owners.get(to).filter(|peer| peer.hash != me) else {
                    return deliver(&cx.service, self.base(cx));
                };
                let hops = cx.header.hops + 1;
                invariant!(hops <= MAX_HOPS, "a packet takes hop {hops}");
                let entry = if cx.header.hops == 0 { me } else { cx.header.entry };
                let header = ForwardHeader { hops, entry, target, record };
                Route::Peer { vm: peer.vm.clone(), address: peer.address, header }
            }
        }
    }

    fn count(&mut self, route: &Route) {
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

    fn slot(&self, cx: &Context, target: u64) -> Option<&Slot> {
        self.table(cx).and_then(|table| table.by_key(target))
    }

    fn base(&self, cx: &Context) -> Option<&Slot> {
        self.table(cx).and_then(|table| table.base(cx.bucket))
    }

    /// Returns the entry of the flow if its target is in the document.
    fn known(&self, now: Millis, cx: &Context) -> Option<Entry> {
        let entry = self.flows.get(now, cx.flow).copied();
        entry.filter(|entry| self.slot(cx, entry.target).is_some())
    }

    fn is_first(&self, cx: &Context) -> bool {
        cx.rank[0] == 0 || cx.rank[0] == self.owners.me()
    }

    fn is_owner(&self, cx: &Context) -> bool {
        self.is_first(cx) || cx.rank[1] == self.owners.me()
    }

    /// Returns the first owner if it is another VM, perhaps one that has joined unnoticed.
    fn other_first(&self, cx: &Context) -> Option<u64> {
        let [future, _] = self.owners.future(cx.flow);
        let firsts = [cx.rank[0], future];
        firsts.into_iter().find(|first| *first != 0 && *first != self.owners.me())
    }

    /// Tells whether an entry may be outdated, because other VMs were owners during a pause of this one
    /// or have been until now.
    fn is_doubtful(&self, now: Millis, entry: &Entry) -> bool {
        let backlog = self.freshness.backlog_end();
        let early = backlog.is_some_and(|end| entry.opened() < end);
        (early || entry.transferred) && !self.is_complete(now)
    }

    /// Tells whether a VM is expected to answer.
    fn is_answering(&self, vm: u64) -> bool {
        let here = self.owners.get(vm).filter(|peer| peer.hash != self.owners.me());
        here.is_some_and(|peer| peer.state != MemberState::Suspect)
    }

    /// Tells whether a TCP flow is found on its target without an entry.
    fn needs_no_entry(&self, cx: &Context, target: u64) -> bool {
        let on_base = self.base(cx).is_some_and(|base| base.key == target);
        let held = self.table(cx).is_some_and(|table| table.is_held(cx.bucket));
        on_base && !held && cx.trusted && cx.kind != PacketKind::Datagram
    }

    /// Sends a hint to the VM that forwards the packets of a flow.
    fn hint(&mut self, now: Millis, cx: &Context, target: u64) {
        let message = FlowMessage::Hint { flow: cx.flow, target };
        let me = self.owners.me();
        let complete = self.is_complete(now);
        let entry = self.owners.get(cx.header.entry);
        let Some(peer) = entry.filter(|peer| complete && peer.hash != me) else { return };
        let Some(entry) = self.flows.touch(now, cx.flow) else { return };
        entry.forwards = entry.forwards.saturating_add(1);
        if entry.forwards < HINT_AFTER || !self.hint_budget.take(message.wire_bytes()) {
            return;
        }
        entry.forwards = 0;
        entry.hinted = true;
        let vm = peer.vm.clone();
        self.send(&vm, message);
    }

    /// Counts packets on base targets answered as second owner, and gives the first owner a hint so that
    /// it answers by itself.
    fn count_base_packet(&mut self, cx: &Context) {
        let Some(target) = self.base(cx).map(|base| base.key) else { return };
        if self.base_packets.len() >= MAX_COUNTED {
            self.base_packets.clear();
        }
        let count = self.base_packets.entry(cx.flow).or_default();
        *count += 1;
        if *count < HINT_AFTER {
            return;
        }
        let message = FlowMessage::Hint { flow: cx.flow, target };
        let Some(first) = self.owners.get(cx.rank[0]).map(|first| first.vm.clone()) else { return };
        if self.hint_budget.take(message.wire_bytes()) {
            self.base_packets.remove(&cx.flow);
            self.send(&first, message);
        }
    }

    /// Revokes the hints for a flow. Returns whether every peer has confirmed, or the wait for it is over.
    /// Until then a SYN is dropped, and its client repeats it.
    fn revoke_hints(&mut self, now: Millis, flow: u64) -> bool {
        let peers: Vec<VmId> = self.owners.peers().map(|peer| peer.vm.clone()).collect();
        let waiting = self.revocations.revoke(now, flow, peers);
        for vm in &waiting {
            self.send_forget(vm, flow);
        }
        waiting.is_empty()
    }

    /// Revokes the hints for a flow that closes on a draining target, because the next flow of the same
    /// addresses goes elsewhere.
    fn forget_draining(&mut self, now: Millis, cx: &Context, target: u64) {
        if self.slot(cx, target).is_some_and(|slot| slot.target.draining) {
            self.revoke_hints(now, cx.flow);
        }
    }

    /// Revokes the hint of the VM that received the packet from the fabric.
    fn revoke(&mut self, cx: &Context) {
        let Some(vm) = self.owners.get(cx.header.entry).map(|peer| peer.vm.clone()) else { return };
        self.send_forget(&vm, cx.flow);
    }

    /// Revokes a hint at once. New hints wait until the budget has recovered.
    fn send_forget(&mut self, vm: &VmId, flow: u64) {
        let message = FlowMessage::Forget { flow };
        self.hint_budget.spend(message.wire_bytes());
        self.send(vm, message);
    }

    /// Gives the owners an entry that they lack.
    fn repair_owners(&mut self, cx: &Context) {
        for owner in &cx.rank[..2] {
            if !self.is_answering(*owner) {
                continue;
            }
            if let Some(vm) = self.owners.get(*owner).map(|owner| owner.vm.clone()) {
                self.transfers.push(&vm, Cause::Repair, cx.flow);
            }
        }
    }

    /// Gives an entry to members that will own it after joining.
    fn tell_joining(&mut self, cx: &Context) {
        for owner in self.owners.future(cx.flow) {
            let joining = self.owners.get(owner).filter(|peer| peer.state == MemberState::Joining);
            if let Some(vm) = joining.map(|peer| peer.vm.clone()) {
                self.transfers.push(&vm, Cause::Planned, cx.flow);
            }
        }
    }
}

fn deliver(service: &Name, slot: Option<&Slot>) -> Route {
    let Some(slot) = slot else { return Route::Drop(DropReason::NoTarget) };
    Route::Target {
        service: service.clone(),
        target: slot.target.name.clone(),
        address: slot.target.address,
    }
}

/// Returns the identity of the packet that a first fragment begins.
fn fragment_key(key: &FlowKey, id: u32) -> FragmentKey {
    const TCP: u8 = 6;
    const UDP: u8 = 17;
    let protocol = match key.protocol {
        Protocol::Tcp => TCP,
        Protocol::Udp => UDP,
    };
    FragmentKey { source: key.source.ip(), destination: key.destination.ip(), protocol, id }
}
