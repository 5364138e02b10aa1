//! Splits a document's text into sections and computes the difference between two texts by section.

use std::collections::BTreeMap;

use super::wire::{MAX_PIECES, Piece};
use crate::ini::MAX_TEXT_BYTES;
use crate::process::rendezvous::hash;

/// Splits a text before each line that starts a section. The concatenated sections are the same
/// bytes.
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

/// Returns the hashes of the sections of a text. A difference from the text can be computed from
/// them.
pub(super) fn index(text: &str) -> Vec<u64> {
    split(text).into_iter().map(hash).collect()
}

/// Describes a text by sections of a base and new text. Sections are compared by hash only, because
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

/// Distributes pieces over parts with at most `max_bytes` bytes of text each.
pub(super) fn pack(pieces: Vec<Piece>, max_bytes: usize) -> Vec<Vec<Piece>> {
    let max_bytes = max_bytes.max(4);
    let (mut parts, mut part, mut remaining) = (Vec::new(), Vec::new(), max_bytes);
    for piece in pieces.into_iter().flat_map(|piece| split_piece(piece, max_bytes)) {
        let bytes = text_bytes(&piece);
        if bytes > remaining || part.len() >= MAX_PIECES {
            parts.push(std::mem::take(&mut part));
            remaining = max_bytes;
        }
        remaining -= bytes;
        part.push(piece);
    }
    parts.push(part);
    parts
}

fn split_piece(piece: Piece, max_bytes: usize) -> Vec<Piece> {
    let Piece::Text(text) = piece else { return vec![piece] };
    let (mut pieces, mut rest) = (Vec::new(), text.as_str());
    while rest.len() > max_bytes {
        let end = (0..=max_bytes).rev().find(|at| rest.is_char_boundary(*at)).unwrap_or(max_bytes);
        let (head, tail) = rest.split_at(end);
        pieces.push(Piece::Text(head.to_owned()));
        rest = tail;
    }
    pieces.push(Piece::Text(rest.to_owned()));
    pieces
}

/// Returns the number of bytes of new text in a piece.
pub(super) fn text_bytes(piece: &Piece) -> usize {
    match piece {
        Piece::Copy { .. } => 0,
        Piece::Text(text) => text.len(),
    }
}

/// Appends pieces to a text. Returns `false` if a copy is outside of the base or the text exceeds
/// [`MAX_TEXT_BYTES`].
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
