//! Keys with which VMs authenticate each other's datagrams.
//!
//! The first key signs and every key verifies, so that keys are rotated without a restart:
//! `docs/OPERATIONS.md`, "Replace the keys between VMs". A tag proves that the sender has a key. Datagrams are
//! neither encrypted nor protected against replay.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;
use thiserror::Error;

/// The length of a key in bytes, the same as that of the hash.
const SECRET_BYTES: usize = 32;
/// The length of a tag in bytes. Half of the hash leaves a forger one chance in 2^128.
const TAG_BYTES: usize = 16;
/// The key number of unsigned datagrams.
const UNSIGNED: u8 = 0;

/// Why a list of keys is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// A key is not a number, a colon and hexadecimal digits.
    #[error("a key is not of the form NUMBER:HEX")]
    Form,
    /// The number is 0 or above 255.
    #[error("the number of a key is not from 1 to 255")]
    Number,
    /// The key does not have 64 hexadecimal digits.
    #[error("a key does not have 64 hexadecimal digits")]
    Secret,
    /// Two keys have the same number.
    #[error("two keys have the same number")]
    Repeated,
}

/// Why a datagram could not be verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// It is too short to hold a tag.
    #[error("the datagram is too short for a tag")]
    Short,
    /// It has no tag, although this VM has keys.
    #[error("the datagram is unsigned, but this VM has keys")]
    Unsigned,
    /// It is signed with a key that this VM does not have.
    #[error("the datagram is signed with an unknown key")]
    UnknownKey,
    /// Its tag does not match its content.
    #[error("the tag does not match the datagram")]
    WrongTag,
}

#[derive(Clone, PartialEq, Eq)]
struct PeerKey {
    number: u8,
    secret: [u8; SECRET_BYTES],
}

/// The keys of one VM. Without keys nothing is signed, and every datagram is accepted.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct PeerKeys(Vec<PeerKey>);

impl PeerKeys {
    /// Returns the message signed with the first key.
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(1 + TAG_BYTES + message.len());
        match self.0.first() {
            None => out.push(UNSIGNED),
            Some(key) => {
                out.push(key.number);
                let tag = key.mac(message).finalize().into_bytes();
                out.extend_from_slice(&tag[..TAG_BYTES]);
            }
        }
        out.extend_from_slice(message);
        out
    }

    /// Verifies the tag of a datagram and returns the message in it.
    ///
    /// # Errors
    ///
    /// Fails if this VM has keys and none of them verifies the tag, or if the datagram is too short.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], VerifyError> {
        let (number, rest) = datagram.split_first().ok_or(VerifyError::Short)?;
        if *number == UNSIGNED {
            return if self.0.is_empty() { Ok(rest) } else { Err(VerifyError::Unsigned) };
        }
        let (tag, message) = rest.split_at_checked(TAG_BYTES).ok_or(VerifyError::Short)?;
        if self.0.is_empty() {
            return Ok(message);
        }
        let key = self.0.iter().find(|key| key.number == *number).ok_or(VerifyError::UnknownKey)?;
        let verified = key.mac(message).verify_truncated_left(tag);
        verified.map(|()| message).map_err(|_| VerifyError::WrongTag)
    }
}

impl PeerKey {
    /// Starts a MAC over the message. It covers the number, so that a tag is valid for one key only.
    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        let mut mac = mac.unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        mac.update(&[self.number]);
        mac.update(message);
        mac
    }
}

impl FromStr for PeerKeys {
    type Err = KeyError;

    /// Parses keys of the form `NUMBER:HEX`, separated by commas, the signing key first.
    fn from_str(text: &str) -> Result<PeerKeys, KeyError> {
        let mut keys: Vec<PeerKey> = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (number, digits) = part.split_once(':').ok_or(KeyError::Form)?;
            let number: u8 = number.parse().map_err(|_| KeyError::Number)?;
            if number == UNSIGNED {
                return Err(KeyError::Number);
            }
            if keys.iter().any(|key| key.number == number) {
                return Err(KeyError::Repeated);
            }
            let secret = secret(digits).ok_or(KeyError::Secret)?;
            keys.push(PeerKey { number, secret });
        }
        Ok(PeerKeys(keys))
    }
}

fn secret(digits: &str) -> Option<[u8; SECRET_BYTES]> {
    let mut secret = [0; SECRET_BYTES];
    if digits.len() != 2 * SECRET_BYTES || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * index..][..2], 16).ok()?;
    }
    Some(secret)
}

/// Shows only the numbers, since settings may be logged.
impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|key| key.number)).finish()
    }
}
