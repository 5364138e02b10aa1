//! Hands key records to a successor at a planned stop.
//!
//! The records are sent in parts, each confirmed. When all are confirmed, this VM commits: it announces the
//! successor, and from then on only the successor decides about the keys. Before the commit a successor
//! that fails is replaced. After it the records here are out of date and are never handed over again.

use super::dispatcher::Dispatcher;
use super::keys::Issuer;
use super::outbox::Outbox;
use super::types::{KeyRecords, RequestMessage};
use crate::names::VmId;
use crate::process::{Member, MemberState, Members};
use crate::time::Millis;

/// One part, of up to 7 KB, is sent this often, which keeps the bulk limit of 64 KB/s.
const PART_INTERVAL: Millis = Millis(110);
/// A part without a confirmation is sent again after this time.
const RESEND: Millis = Millis(1_000);

#[derive(Debug)]
struct Part {
    records: KeyRecords,
    sent_at: Option<Millis>,
    taken: bool,
}

/// The progress of the hand-over.
#[derive(Debug, Default)]
pub(super) struct Handover {
    started: bool,
    successor: Option<Issuer>,
    issuers: Vec<Issuer>,
    parts: Vec<Part>,
    last_part_at: Option<Millis>,
    committed_at: Option<Millis>,
    done: bool,
}

impl Handover {
    pub(super) fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the next part that is due.
    fn next_part(&mut self, now: Millis) -> Option<KeyRecords> {
        if self.last_part_at.is_some_and(|at| now.since(at) < PART_INTERVAL) {
            return None;
        }
        let due =
            |part: &&mut Part| !part.taken && part.sent_at.is_none_or(|at| now.since(at) >= RESEND);
        let part = self.parts.iter_mut().find(due)?;
        part.sent_at = Some(now);
        self.last_part_at = Some(now);
        Some(part.records.clone())
    }

    fn restart(&mut self, successor: Issuer) {
        self.successor = Some(successor);
        for part in &mut self.parts {
            (part.sent_at, part.taken) = (None, false);
        }
    }
}

impl Dispatcher {
    /// Sends the next part of the key records, once this VM leaves and no keyed request is in progress.
    pub(super) fn continue_handover(&mut self, now: Millis, out: &mut Outbox) {
        if !self.leaving || self.handover.done || self.keys.has_progress() {
            return;
        }
        if !self.handover.started {
            let part = |records| Part { records, sent_at: None, taken: false };
            self.handover.started = true;
            self.handover.parts = self.keys.to_parts().into_iter().map(part).collect();
            self.handover.issuers = self.keys.decided();
            self.handover.successor = self.choose_successor();
        }
        let Some((vm, _)) = self.handover.successor.clone() else {
            self.handover.done = true;
            return;
        };
        if self.handover.parts.iter().all(|part| part.taken) {
            return self.commit(now, out);
        }
        if let Some(part) = self.handover.next_part(now) {
            out.message(&vm, RequestMessage::Keys(part));
        }
    }

    /// Announces the successor, and repeats that to the successor itself until it confirms.
    fn commit(&mut self, now: Millis, out: &mut Outbox) {
        let Some(successor) = self.handover.successor.clone() else { return };
        if self.handover.issuers.is_empty() {
            self.handover.done = true;
            return;
        }
        let first = self.handover.committed_at.is_none();
        if self.handover.committed_at.is_some_and(|at| now.since(at) < RESEND) {
            return;
        }
        self.handover.committed_at = Some(now);
        for issuer in self.handover.issuers.clone() {
            self.keys.set_successor(issuer.clone(), successor.clone());
            let peers = self.members.iter().flat_map(Members::peers);
            let told = peers.filter(|peer| first || peer.vm == successor.0);
            announce(&issuer, &successor, told, out);
        }
    }

    /// Begins to decide about the keys of a process that stops, and confirms that.
    pub(super) fn adopt(&mut self, from: &VmId, issuer: &Issuer, out: &mut Outbox) {
        if self.keys.adopt(issuer) {
            let ((issuer, incarnation), taker) = (issuer.clone(), self.incarnation);
            let taken = RequestMessage::KeysTaken { issuer, incarnation, part: None, taker };
            out.message(from, taken);
        }
    }

    /// Notes that the successor took a part, or with `None` the decision about the keys of an issuer.
    pub(super) fn take_confirmation(
        &mut self,
        now: Millis,
        taker: &Issuer,
        issuer: &Issuer,
        part: Option<u32>,
        out: &mut Outbox,
    ) {
        if self.handover.successor.as_ref() != Some(taker) {
            self.counters.odd_messages += 1;
            return;
        }
        let Some(part) = part else {
            self.handover.issuers.retain(|other| other != issuer);
            self.handover.done |= self.handover.issuers.is_empty();
            return;
        };
        let same = |records: &KeyRecords| {
            records.issuer == issuer.0 && records.incarnation == issuer.1 && records.part == part
        };
        let taken = self.handover.parts.iter_mut().filter(|part| same(&part.records));
        taken.for_each(|part| part.taken = true);
        self.continue_handover(now, out);
    }

    /// Starts the hand-over again when the successor died, restarted or is about to stop itself before
    /// the commit. After the commit the records are lost with it.
    pub(super) fn check_successor(&mut self, now: Millis, out: &mut Outbox) {
        if !self.handover.started || self.handover.done {
            return;
        }
        let usable = |successor: &Issuer| {
            let member = self.members.as_ref().and_then(|members| members.get(&successor.0));
            member.is_some_and(|m| m.is_eligible() && m.incarnation == successor.1)
        };
        if self.handover.successor.as_ref().is_some_and(usable) {
            return;
        }
        if self.handover.committed_at.is_some() {
            self.handover.done = true;
        } else if let Some(successor) = self.choose_successor() {
            self.handover.restart(successor);
            self.continue_handover(now, out);
        } else {
            self.handover.done = true;
        }
    }

    fn choose_successor(&self) -> Option<Issuer> {
        let members = self.members.as_ref()?;
        let usable = |member: &&Member| member.state == MemberState::Active && member.vm != self.me;
        let largest = members.list.iter().filter(usable).max_by_key(|m| (m.size, m.vm.clone()))?;
        Some((largest.vm.clone(), largest.incarnation))
    }

    /// Tells members that are new whose keys this VM decides about.
    pub(super) fn announce_adopted(&self, previous: Option<&Members>, out: &mut Outbox) {
        let Some(members) = &self.members else { return };
        let me = (self.me.clone(), self.incarnation);
        let is_new = |member: &&Member| {
            let known = previous.and_then(|previous| previous.get(&member.vm));
            known.is_none_or(|known| known.incarnation != member.incarnation)
        };
        for issuer in self.keys.adopted() {
            announce(&issuer, &me, members.peers().filter(is_new), out);
        }
    }
}

fn announce<'a>(
    issuer: &Issuer,
    successor: &Issuer,
    peers: impl Iterator<Item = &'a Member>,
    out: &mut Outbox,
) {
    for peer in peers {
        let message = RequestMessage::Successor {
            issuer: issuer.0.clone(),
            incarnation: issuer.1,
            successor: successor.0.clone(),
            successor_incarnation: successor.1,
        };
        out.message(&peer.vm, message);
    }
}
