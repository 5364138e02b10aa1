//! Sending of documents to peers, paced in bytes.

use std::collections::VecDeque;
use std::sync::Arc;

use super::history::History;
use super::limits::AdoptionLimits;
use super::sections;
use super::wire::{Part, Piece, Stamp};
use crate::names::VmId;
use crate::time::Millis;
use crate::version::document::Document;

/// How many differences are kept. Peers that fetch one revision mostly have the same base.
const MAX_DIFFERENCES: usize = 4;

#[derive(Clone, Debug)]
struct Request {
    from: VmId,
    base: Option<Stamp>,
    part: u32,
}

#[derive(Debug)]
struct Difference {
    base: Option<Stamp>,
    document: Stamp,
    parts: Arc<[Vec<Piece>]>,
}

/// The peers that wait for a part, and the allowance of bytes.
#[derive(Debug)]
pub(super) struct Server {
    waiting: VecDeque<Request>,
    differences: VecDeque<Difference>,
    allowance: u64,
    refilled_at: Millis,
}

impl Server {
    pub(super) fn new(limits: &AdoptionLimits) -> Server {
        Server {
            waiting: VecDeque::new(),
            differences: VecDeque::new(),
            allowance: limits.bulk_burst,
            refilled_at: Millis::ZERO,
        }
    }

    /// Queues the request of a peer in place of its earlier one.
    pub(super) fn request(
        &mut self,
        from: &VmId,
        base: Option<Stamp>,
        part: u32,
        limits: &AdoptionLimits,
    ) {
        self.waiting.retain(|request| request.from != *from);
        if self.waiting.len() < limits.max_waiting {
            self.waiting.push_back(Request { from: from.clone(), base, part });
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
            self.allowance = (self.allowance + refill).min(limits.bulk_burst);
            self.refilled_at = now;
        }
        let mut sent = Vec::new();
        while let Some(request) = self.waiting.front().cloned() {
            let part = self.part(&request, document, history, limits);
            let bytes = part.pieces.iter().map(sections::text_bytes).sum::<usize>() as u64;
            // A part greater than the burst goes out when the allowance is full.
            if bytes > self.allowance && self.allowance < limits.bulk_burst {
                break;
            }
            self.allowance = self.allowance.saturating_sub(bytes);
            self.waiting.pop_front();
            sent.push((request.from, part));
        }
        sent
    }

    fn part(
        &mut self,
        request: &Request,
        document: &Document,
        history: &History,
        limits: &AdoptionLimits,
    ) -> Part {
        let base = request.base.filter(|base| history.get(base).is_some());
        let stamp = Stamp { revision: document.revision(), digest: document.digest() };
        let parts = self.difference(base, stamp, document, history, limits);
        let part = if (request.part as usize) < parts.len() { request.part } else { 0 };
        Part {
            document: stamp,
            base: base.map(|base| base.revision),
            part,
            parts: parts.len() as u32,
            pieces: parts[part as usize].clone(),
        }
    }

    fn difference(
        &mut self,
        base: Option<Stamp>,
        document: Stamp,
        text: &Document,
        history: &History,
        limits: &AdoptionLimits,
    ) -> Arc<[Vec<Piece>]> {
        let known = self
            .differences
            .iter()
            .find(|difference| difference.base == base && difference.document == document);
        if let Some(known) = known {
            return known.parts.clone();
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
