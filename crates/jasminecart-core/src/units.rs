//! Parsing of values with units, for settings and documents.

use crate::time::Millis;

/// Parses a duration such as `250ms`, `30s`, `5m` or `2h`. A unit is required.
pub fn parse_duration(text: &str) -> Option<Millis> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let count: u64 = text[..digits].parse().ok()?;
    let factor = match text[digits..].trim() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    count.checked_mul(factor).map(Millis)
}

/// Parses a size such as `512B`, `64KiB` or `16MiB`. A unit is required.
pub fn parse_bytes(text: &str) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let count: u64 = text[..digits].parse().ok()?;
    let factor = match text[digits..].trim() {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        _ => return None,
    };
    count.checked_mul(factor)
}

/// Parses a rate such as `50/s`.
pub fn parse_rate(text: &str) -> Option<u32> {
    text.strip_suffix("/s")?.trim().parse().ok()
}
