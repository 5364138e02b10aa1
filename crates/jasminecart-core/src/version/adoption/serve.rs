//! Sends documents to peers at a limited byte rate.

use std::collections::VecDeque;
use std::sync::Arc;

use super::history::History;
use super::limits::AdoptionLimits;
use super::sections;
use super::wire::{DocumentId, Part, Piece};
use crate::names::VmId;
use crate::time::Millis;
use crate::version::document::Document;

/// The number of cached differences. Peers that fetch one revision mostly have the same base.
const MAX_DIFFERENCES: usize = 4;

#[derive(Clone, Debug)]
struct PartRequest {
    from: VmId,
    base: Option<DocumentId>,
    part: u32,
}

#[derive(Debug)]
struct Difference {
    base: Option<DocumentId>,
    document: DocumentId,
    parts: Arc<[Vec<Piece>]>,
}

/// The queue of peers that wait for a part, and the token bucket that limits the bytes sent.
#[derive(Debug)]
pub(super) struct PartServer {
    waiting: VecDeque<PartRequest>,
    differences: VecDeque<Difference>,
    byte_tokens: u64,
    refilled_at: Millis,
}

impl PartServer {
    pub(super) fn new(limits: &AdoptionLimits) -> PartServer {
        PartServer {
            waiting: VecDeque::new(),
            differences: VecDeque::new(),
            byte_tokens: limits.bulk_burst,
            refilled_at: Millis::ZERO,
        }
    }

    /// Queues the request of a peer, replacing an earlier request of the same peer.
    pub(super) fn request(
        &mut self,
        from: &VmId,
        base: Option<DocumentId>,
        part: u32,
        limits: &AdoptionLimits,
    ) {
        self.waiting.retain(|request| request.from != *from);
        if self.waiting.len() < limits.max_waiting {
            self.waiting.push_back(PartRequest { from: from.clone(), base, part });
        }
    }

    /// Returns the parts that may be sent now.
    pub(super) fn serve(
        &mut self,
        now: Millis,
        document: &Document,
        history: &History,
        limits: &AdoptionLimits,
    ) -> Vec<(VmId, Part)> {
        let refill = now.since(self.refilled_at).get().saturating_mul(limits.bulk_rate) / 1_000;
        if refill > 0 {
            self.byte_tokens = (self.byte_tokens + refill).min(limits.bulk_burst);
            self.refilled_at = now;
        }
        let mut sent = Vec::new();
        while let Some(request) = self.waiting.front().cloned() {
            let part = self.part(&request, document, history, limits);
            let bytes = part.pieces.iter().map(sections::text_bytes).sum::<usize>() as u64;
            // A part larger than the burst is sent when the bucket is full.
            if bytes > self.byte_tokens && self.byte_tokens < limits.bulk_burst {
                break;
            }
            self.byte_tokens = self.byte_tokens.saturating_sub(bytes);
            self.waiting.pop_front();
            sent.push((request.from, part));
        }
        sent
    }

    fn part(
        &mut self,
        request: &PartRequest,
        document: &Document,
        history: &History,
        limits: &AdoptionLimits,
    ) -> Part {
        let base = request.base.filter(|base| history.get(base).is_some());
        let id = DocumentId { revision: document.revision(), digest: document.digest() };
        let parts = self.difference(base, id, document, history, limits);
        let part = if (request.part as usize) < parts.len() { request.part } else { 0 };
        Part {
            document: id,
            base: base.map(|base| base.revision),
            part,
            parts: parts.len() as u32,
            pieces: parts[part as usize].clone(),
        }
    }

    fn difference(
        &mut self,
        base: Option<DocumentId>,
        document: DocumentId,
        text: &Document,
        history: &History,
        limits: &AdoptionLimits,
    ) -> Arc<[Vec<Piece>]> {
        let cached = self
            .differences
            .iter()
            .find(|difference| difference.base == base && difference.document == document);
        if let Some(cached) = cached {
            return cached.parts.clone();
        }
        let index = base.and_then(|base| history.get(&base)).unwrap_or_default();
        let pieces = sections::difference(index, text.text());
        let parts: Arc<[Vec<Piece>]> = sections::pack(pieces, limits.part_bytes).into();
        self.differences.push_back(Difference { base, document, parts: parts.clone() });
        if self.differences.len() > MAX_DIFFERENCES {
            self.differences.pop_front();
        }
        parts
    }
}
