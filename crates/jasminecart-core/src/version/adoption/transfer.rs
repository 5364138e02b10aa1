//! Transfers of documents between peers.

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::fetch::{Fetch, Received};
use super::wire::{DocumentMessage, Part, Stamp};
use super::{Adoption, PLATFORM_FIRST, sections};
use crate::names::VmId;
use crate::time::Millis;
use crate::version::document::Revision;

impl Adoption {
    pub(super) fn on_fetch(
        &mut self,
        now: Millis,
        from: &VmId,
        base: Option<Stamp>,
        revision: Revision,
        part: u32,
    ) {
        if self.stamp().is_some_and(|ours| ours.revision >= revision) {
            self.server.request(from, base, part, &self.limits);
            self.serve(now);
        } else {
            let have = self.have();
            self.send(from, have);
        }
    }

    pub(super) fn serve(&mut self, now: Millis) {
        let Some(document) = self.current.clone() else { return };
        for (vm, part) in self.server.serve(now, &document, &self.history, &self.limits) {
            let bytes: usize = part.pieces.iter().map(sections::text_bytes).sum();
            self.counters.text_bytes_sent += bytes as u64;
            self.send(&vm, DocumentMessage::Part(part));
        }
    }

    /// Starts a transfer when a peer has a newer document.
    pub(super) fn fetch_newer(&mut self, now: Millis) {
        if self.fetch.is_some() || self.start.at.is_none() {
            return;
        }
        let from_platform = self.current.is_none() && !self.start.platform_answered;
        if from_platform && self.start.is_within(now, PLATFORM_FIRST) {
            return;
        }
        let Some((revision, vms)) = self.sources.newer(self.in_force(), &self.refused) else {
            return;
        };
        let Some(source) = vms.choose(&mut self.rng).copied().cloned() else { return };
        let base = self.current.clone().filter(|_| !self.fetch_whole);
        self.counters.fetches += 1;
        // The reads of the platform are spread, because all VMs are late when most sections change.
        let spread = Millis(self.rng.random_range(0..=self.limits.platform_read_spread.0));
        let platform_at = now + self.limits.slow_fetch + spread;
        let fetch = Fetch::new(now, source, revision, base, platform_at);
        self.send(&fetch.source, fetch.request());
        self.fetch = Some(fetch);
    }

    /// Goes on with another source when one does not deliver, and turns to the platform when the transfer
    /// as a whole takes long.
    pub(super) fn check_fetch(&mut self, now: Millis) {
        let Some(mut fetch) = self.fetch.take() else { return };
        if now >= fetch.platform_at {
            fetch.platform_at = Millis::MAX;
            self.platform.check_soon(now);
        }
        if now.since(fetch.progress_at) < self.limits.fetch_timeout {
            self.fetch = Some(fetch);
            return;
        }
        self.sources.forget(&fetch.source);
        let newer = self.sources.newer(self.in_force(), &self.refused);
        let vms = newer.filter(|(revision, _)| *revision >= fetch.revision).map(|(_, vms)| vms);
        let source = vms.and_then(|vms| vms.choose(&mut self.rng).copied().cloned());
        let Some(source) = source else { return };
        fetch.switch(now, source);
        self.send(&fetch.source, fetch.request());
        self.fetch = Some(fetch);
    }

    pub(super) fn on_part(&mut self, now: Millis, from: &VmId, part: &Part) {
        let Some(mut fetch) = self.fetch.take_if(|fetch| fetch.source == *from) else {
            self.counters.refused += 1;
            return;
        };
        match fetch.receive(now, part) {
            Received::Ignored => self.fetch = Some(fetch),
            Received::Incomplete => {
                if part.part == 0 && self.limits.is_slow(part.parts) {
                    fetch.ask_platform_early(self.limits.slow_fetch);
                }
                self.send(from, fetch.request());
                self.fetch = Some(fetch);
            }
            Received::Complete(revision, text) => {
                let adopted = self.offer(now, revision, &text);
                self.counters.from_peers += u64::from(adopted);
            }
            Received::Mismatch => {
                self.counters.mismatches += 1;
                self.fetch_whole = true;
                self.sources.forget(from);
            }
        }
    }
}
