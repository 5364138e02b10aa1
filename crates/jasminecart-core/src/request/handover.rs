//! Hands key records over to a successor at a planned stop.
//!
//! The records are sent in parts, each of which is confirmed. When all are confirmed, this VM
//! commits: it announces the successor, and from then on only the successor owns the keys. Before
//! the commit, a successor that fails is replaced. After the commit, the records of this VM are out
//! of date and are never handed over again.

use super::dispatcher::Dispatcher;
use super::keys::Issuer;
use super::outbox::Outbox;
use super::types::{KeyRecords, RequestMessage};
use crate::names::VmId;
use crate::process::{Member, MemberState, Members};
use crate::time::Millis;

/// The interval between parts of up to 7 KB, which stays within the bulk limit of 64 KB/s.
const PART_INTERVAL: Millis = Millis(110);
/// A part that is not confirmed is sent again after this time.
const RESEND_AFTER: Millis = Millis(1_000);

#[derive(Debug)]
struct Part {
    records: KeyRecords,
    sent_at: Option<Millis>,
    confirmed: bool,
}

/// The progress of the handover.
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

    /// Returns the next part that is due for sending.
    fn next_part(&mut self, now: Millis) -> Option<KeyRecords> {
        if self.last_part_at.is_some_and(|at| now.since(at) < PART_INTERVAL) {
            return None;
        }
        let due = |part: &&mut Part| {
            !part.confirmed && part.sent_at.is_none_or(|at| now.since(at) >= RESEND_AFTER)
        };
        let part = self.parts.iter_mut().find(due)?;
        part.sent_at = Some(now);
        self.last_part_at = Some(now);
        Some(part.records.clone())
    }

    fn restart(&mut self, successor: Issuer) {
        self.successor = Some(successor);
        for part in &mut self.parts {
            (part.sent_at, part.confirmed) = (None, false);
        }
    }
}

impl Dispatcher {
    /// Sends the next part of the key records, once this VM is leaving and no request with a key is
    /// in progress.
    pub(super) fn continue_handover(&mut self, now: Millis, out: &mut Outbox) {
        if !self.leaving || self.handover.done || self.keys.has_in_progress() {
            return;
        }
        if !self.handover.started {
            let part = |records| Part { records, sent_at: None, confirmed: false };
            self.handover.started = true;
            self.handover.parts = self.keys.to_parts().into_iter().map(part).collect();
            self.handover.issuers = self.keys.owned_issuers();
            self.handover.successor = self.choose_successor();
        }
        let Some((vm, _)) = self.handover.successor.clone() else {
            self.handover.done = true;
            return;
        };
        if self.handover.parts.iter().all(|part| part.confirmed) {
            return self.commit(now, out);
        }
        if let Some(part) = self.handover.next_part(now) {
            out.message(&vm, RequestMessage::Keys(part));
        }
    }

    /// Announces the successor to all peers, and repeats that to the successor until it confirms.
    fn commit(&mut self, now: Millis, out: &mut Outbox) {
        let Some(successor) = self.handover.successor.clone() else { return };
        if self.handover.issuers.is_empty() {
            self.handover.done = true;
            return;
        }
        let first = self.handover.committed_at.is_none();
        if self.handover.committed_at.is_some_and(|at| now.since(at) < RESEND_AFTER) {
            return;
        }
        self.handover.committed_at = Some(now);
        for issuer in self.handover.issuers.clone() {
            self.keys.set_successor(issuer.clone(), successor.clone());
            let peers = self.members.iter().flat_map(Members::peers);
            let recipients = peers.filter(|peer| first || peer.vm == successor.0);
            announce(&issuer, &successor, recipients, out);
        }
    }

    /// Becomes the owner of the keys of a stopping process, and confirms that.
    pub(super) fn adopt(&mut self, from: &VmId, issuer: &Issuer, out: &mut Outbox) {
        if self.keys.adopt(issuer) {
            let ((issuer, incarnation), taker) = (issuer.clone(), self.incarnation);
            let confirmation = RequestMessage::KeysTaken { issuer, incarnation, part: None, taker };
            out.message(from, confirmation);
        }
    }

    /// Records that the successor confirmed a part or, if `part` is `None`, the ownership of the
    /// keys of an issuer.
    pub(super) fn apply_confirmation(
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
        let is_confirmed = |records: &KeyRecords| {
            records.issuer == issuer.0 && records.incarnation == issuer.1 && records.part == part
        };
        let confirmed = self.handover.parts.iter_mut().filter(|part| is_confirmed(&part.records));
        confirmed.for_each(|part| part.confirmed = true);
        self.continue_handover(now, out);
    }

    /// Restarts the handover with another successor if the successor failed, restarted or is
    /// leaving before the commit. If that happens after the commit, the records are lost with the
    /// successor.
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

    /// Announces to new members the processes whose keys this VM has adopted.
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
