//! The sections of a document's text, and the difference between two texts by sections.

use std::collections::BTreeMap;

use super::wire::{MAX_PIECES, Piece};
use crate::ini::MAX_TEXT_BYTES;
use crate::process::rendezvous::hash;

/// Splits a text before each line that starts a section. Joined again, the sections are the same bytes.
pub(super) fn split(text: &str) -> Vec<&str> {
    let mut sections = Vec::new();
    let (mut start, mut at) = (0, 0);
    for line in text.split_inclusive('\n') {
        if line.trim_start().starts_with('[') && at > start {
            sections.push(&text[start..at]);
            start = at;
        }
        at += line.len();
    }
    if at > start {
        sections.push(&text[start..at]);
    }
    sections
}

/// Returns the hashes of the sections of a text, from which a difference can be computed later.
pub(super) fn index(text: &str) -> Vec<u64> {
    split(text).into_iter().map(hash).collect()
}

/// Describes a text by sections of a base and new text. A section counts as unchanged by its hash alone;
/// the receiver verifies the digest of the whole text.
pub(super) fn difference(base: &[u64], text: &str) -> Vec<Piece> {
    let positions: BTreeMap<u64, u32> = base.iter().copied().zip(0..).collect();
    let mut pieces = Vec::new();
    for section in split(text) {
        match positions.get(&hash(section)) {
            Some(position) => push_copy(&mut pieces, *position),
            None => push_text(&mut pieces, section),
        }
    }
    pieces
}

fn push_copy(pieces: &mut Vec<Piece>, position: u32) {
    if let Some(Piece::Copy { first, count }) = pieces.last_mut()
        && *first + *count == position
    {
        *count += 1;
        return;
    }
    pieces.push(Piece::Copy { first: position, count: 1 });
}

fn push_text(pieces: &mut Vec<Piece>, text: &str) {
    match pieces.last_mut() {
        Some(Piece::Text(last)) => last.push_str(text),
        _ => pieces.push(Piece::Text(text.to_owned())),
    }
}

/// Distributes pieces over messages with at most `most` bytes of text each.
pub(super) fn pack(pieces: Vec<Piece>, most: usize) -> Vec<Vec<Piece>> {
    let most = most.max(4);
    let (mut parts, mut part, mut room) = (Vec::new(), Vec::new(), most);
    for piece in pieces.into_iter().flat_map(|piece| cut(piece, most)) {
        let bytes = text_bytes(&piece);
        if bytes > room || part.len() >= MAX_PIECES {
            parts.push(std::mem::take(&mut part));
            room = most;
        }
        room -= bytes;
        part.push(piece);
    }
    parts.push(part);
    parts
}

fn cut(piece: Piece, most: usize) -> Vec<Piece> {
    let Piece::Text(text) = piece else { return vec![piece] };
    let (mut pieces, mut rest) = (Vec::new(), text.as_str());
    while rest.len() > most {
        let end = (0..=most).rev().find(|at| rest.is_char_boundary(*at)).unwrap_or(most);
        let (head, tail) = rest.split_at(end);
        pieces.push(Piece::Text(head.to_owned()));
        rest = tail;
    }
    pieces.push(Piece::Text(rest.to_owned()));
    pieces
}

/// Returns the bytes of new text in a piece.
pub(super) fn text_bytes(piece: &Piece) -> usize {
    match piece {
        Piece::Copy { .. } => 0,
        Piece::Text(text) => text.len(),
    }
}

/// Appends pieces to a text. Returns false when a copy lies outside of the base or the text grows too long.
pub(super) fn append(text: &mut String, base: &[&str], pieces: &[Piece]) -> bool {
    for piece in pieces {
        let added: &[&str] = match piece {
            Piece::Text(text) => &[text.as_str()],
            Piece::Copy { first, count } => {
                let first = *first as usize;
                let end = first.saturating_add(*count as usize);
                let Some(copied) = base.get(first..end) else { return false };
                copied
            }
        };
        for section in added {
            if text.len() + section.len() > MAX_TEXT_BYTES {
                return false;
            }
            text.push_str(section);
        }
    }
    true
}
