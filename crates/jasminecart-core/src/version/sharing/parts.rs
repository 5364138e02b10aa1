//! Splits updates into parts that fit a datagram, and reassembles them.

use std::net::SocketAddrV4;

use super::SharedItem;
use crate::version::{RouteRule, StoreRevision, TargetChange};

/// The largest size of the items in one message in bytes, so that the message and its envelope fit
/// a datagram of the usual MTU.
pub(super) const PART_BYTES: usize = 1_000;
/// The largest number of parts of one update. The 3,400 targets and 1,600 routes that are expected
/// in two years need about 400.
const MAX_PARTS: u16 = 2_048;

/// Splits items into parts of at most [`PART_BYTES`], unless a single item is larger. The result
/// has at least one part.
pub(super) fn split(items: Vec<SharedItem>) -> Vec<Vec<SharedItem>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for item in items {
        let size = max_encoded_size(&item);
        if bytes + size > PART_BYTES && bytes > 0 {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts.truncate(usize::from(MAX_PARTS));
    parts
}

/// Returns an upper estimate of the encoded size in bytes: an integer needs at most 10 bytes, a
/// name its length.
fn max_encoded_size(item: &SharedItem) -> usize {
    const FIXED_BYTES: usize = 40;
    match item {
        SharedItem::Target(TargetChange::Written(record)) => {
            let names = [&record.name, &record.service, &record.data_centre];
            2 * FIXED_BYTES + names.iter().map(|name| name.as_str().len()).sum::<usize>()
        }
        SharedItem::Target(TargetChange::Deleted { name, .. }) => FIXED_BYTES + name.as_str().len(),
        SharedItem::Routes { .. } | SharedItem::RouteGone(_) => FIXED_BYTES,
        SharedItem::Evacuation(change) => 2 * FIXED_BYTES + change.data_centre().as_str().len(),
        SharedItem::Service(name, _) | SharedItem::ServiceGone(name) => {
            FIXED_BYTES + name.as_str().len()
        }
        SharedItem::Route(address, rule) => max_rule_size(address, rule),
    }
}

fn max_rule_size(_: &SocketAddrV4, rule: &RouteRule) -> usize {
    const FIXED_BYTES: usize = 48;
    const SHARE_BYTES: usize = 6;
    let services = rule.services.iter().map(|(name, _)| name.as_str().len() + SHARE_BYTES);
    FIXED_BYTES + rule.name.as_str().len() + services.sum::<usize>()
}

/// The parts of one update that were received from one peer.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    after: StoreRevision,
    upto: StoreRevision,
    parts: Vec<Option<Vec<SharedItem>>>,
}

impl Assembly {
    /// Adds a part. Returns all items in order once the update is complete.
    pub(super) fn add(
        &mut self,
        after: StoreRevision,
        upto: StoreRevision,
        part: u16,
        parts: u16,
        items: Vec<SharedItem>,
    ) -> Option<Vec<SharedItem>> {
        if part >= parts || parts > MAX_PARTS {
            return None;
        }
        let count = usize::from(parts);
        if (self.after, self.upto, self.parts.len()) != (after, upto, count) {
            *self = Assembly { after, upto, parts: vec![None; count] };
        }
        self.parts[usize::from(part)] = Some(items);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let complete = std::mem::take(&mut self.parts);
        Some(complete.into_iter().flatten().flatten().collect())
    }
}
