//! Transfers documents between peers.

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::fetch::{Fetch, ReceiveOutcome};
use super::wire::{DocumentId, DocumentMessage, Part};
use super::{Adoption, PLATFORM_HEAD_START, sections};
use crate::names::VmId;
use crate::time::Millis;
use crate::version::document::Revision;

impl Adoption {
    pub(super) fn on_fetch(
        &mut self,
        now: Millis,
        from: &VmId,
        base: Option<DocumentId>,
        revision: Revision,
        part: u32,
    ) {
        if self.current_id().is_some_and(|ours| ours.revision >= revision) {
            self.server.request(from, base, part, &self.limits);
            self.serve(now);
        } else {
            let have = self.have_message();
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

    /// Starts a transfer if a peer has a newer document and none is in progress.
    pub(super) fn fetch_newer(&mut self, now: Millis) {
        if self.fetch.is_some() || self.startup.started_at.is_none() {
            return;
        }
        let from_platform = self.current.is_none() && !self.startup.platform_responded;
        if from_platform && self.startup.is_within(now, PLATFORM_HEAD_START) {
            return;
        }
        let Some((revision, vms)) = self.sources.newer(self.current_revision(), &self.refused)
        else {
            return;
        };
        let Some(source) = vms.choose(&mut self.rng).copied().cloned() else { return };
        let base = self.current.clone().filter(|_| !self.fetch_without_base);
        self.counters.fetches += 1;
        // Reads of the platform are spread, because the transfers of all VMs are slow if most
        // sections change.
        let spread = Millis(self.rng.random_range(0..=self.limits.platform_read_spread.0));
        let platform_read_at = now + self.limits.slow_fetch + spread;
        let fetch = Fetch::new(now, source, revision, base, platform_read_at);
        self.send(&fetch.source, fetch.request());
        self.fetch = Some(fetch);
    }

    /// Continues from another source if the current one does not deliver, and reads the platform if
    /// the transfer as a whole is slow.
    pub(super) fn check_fetch(&mut self, now: Millis) {
        let Some(mut fetch) = self.fetch.take() else { return };
        if now >= fetch.platform_read_at {
            fetch.platform_read_at = Millis::MAX;
            self.platform.check_now(now);
        }
        if now.since(fetch.progress_at) < self.limits.fetch_timeout {
            self.fetch = Some(fetch);
            return;
        }
        self.sources.remove_revision(&fetch.source);
        let newer = self.sources.newer(self.current_revision(), &self.refused);
        let vms = newer.filter(|(revision, _)| *revision >= fetch.revision).map(|(_, vms)| vms);
        let source = vms.and_then(|vms| vms.choose(&mut self.rng).copied().cloned());
        let Some(source) = source else { return };
        fetch.switch_source(now, source);
        self.send(&fetch.source, fetch.request());
        self.fetch = Some(fetch);
    }

    pub(super) fn on_part(&mut self, now: Millis, from: &VmId, part: &Part) {
        let Some(mut fetch) = self.fetch.take_if(|fetch| fetch.source == *from) else {
            self.counters.refused += 1;
            return;
        };
        match fetch.receive(now, part) {
            ReceiveOutcome::Ignored => self.fetch = Some(fetch),
            ReceiveOutcome::Incomplete => {
                if part.part == 0 && self.limits.is_slow(part.parts) {
                    fetch.advance_platform_read(self.limits.slow_fetch);
                }
                self.send(from, fetch.request());
                self.fetch = Some(fetch);
            }
            ReceiveOutcome::Complete(revision, text) => {
                let adopted = self.adopt_if_newer(now, revision, &text);
                self.counters.from_peers += u64::from(adopted);
            }
            ReceiveOutcome::Mismatch => {
                self.counters.mismatches += 1;
                self.fetch_without_base = true;
                self.sources.remove_revision(from);
            }
        }
    }
}
