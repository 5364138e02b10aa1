//! The look-up of a target by the token of a packet.

use std::net::SocketAddrV4;

use super::routing_token::{PREFIX_VALUES, RoutingToken, TargetId, TargetKey};
use super::verdict::DropCause;
use crate::hashing::HashMap;

/// Finds targets by token and by identity. A target is known by its index in the router's table of targets.
#[derive(Debug, Default)]
pub(super) struct TargetTokens {
    entries: Vec<Entry>,
    by_id: HashMap<TargetId, usize>,
    /// The first target with each prefix. Empty until a target is added.
    first: Vec<Option<u32>>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: TargetKey,
    /// The next target with the same prefix, in the order of their addition.
    next: Option<u32>,
}

impl TargetTokens {
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.by_id.clear();
        self.first.clear();
    }

    /// Adds the target that has the next index of the table.
    pub(super) fn push(&mut self, key: TargetKey) {
        let index = self.entries.len();
        let Ok(link) = u32::try_from(index) else { return };
        self.first.resize(PREFIX_VALUES, None);
        let first = self.first[key.prefix()];
        match self.chain(first).last() {
            Some((last, _)) => self.entries[last].next = Some(link),
            None => self.first[key.prefix()] = Some(link),
        }
        self.entries.push(Entry { key, next: None });
        self.by_id.entry(key.id()).or_insert(index);
    }

    /// Returns the target with an identity.
    pub(super) fn index_of(&self, id: TargetId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Returns the target whose token for `service` is `token`. If several have it, the one that was added first is
    /// returned: it had open flows before the others, which get no flows of that address.
    pub(super) fn find(
        &self,
        token: RoutingToken,
        service: SocketAddrV4,
    ) -> Result<usize, DropCause> {
        let mut candidates = self.candidates(token).peekable();
        if candidates.peek().is_none() {
            return Err(DropCause::UnknownToken);
        }
        let found = candidates.find(|(_, key)| key.token(service) == token);
        found.map(|(index, _)| index).ok_or(DropCause::ForeignToken)
    }

    /// Returns whether another target has the same token for the same address.
    pub(super) fn is_shared(
        &self,
        index: usize,
        token: RoutingToken,
        service: SocketAddrV4,
    ) -> bool {
        let mut others = self.candidates(token).filter(|(other, _)| *other != index);
        others.any(|(_, key)| key.token(service) == token)
    }

    fn candidates(&self, token: RoutingToken) -> impl Iterator<Item = (usize, TargetKey)> {
        self.chain(self.first.get(token.prefix()).copied().flatten())
    }

    fn chain(&self, first: Option<u32>) -> impl Iterator<Item = (usize, TargetKey)> {
        let mut next = first;
        std::iter::from_fn(move || {
            let index = next? as usize;
            let entry = self.entries.get(index)?;
            next = entry.next;
            Some((index, entry.key))
        })
    }
}
