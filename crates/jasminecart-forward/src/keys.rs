//! Keys by which VMs recognise each other's datagrams.
//!
//! The first key signs, every key verifies, so that keys are replaced one after the other without a restart:
//! `docs/OPERATIONS.md`, "Replace the keys between VMs". A tag proves that its sender knows a key; it hides nothing,
//! and a datagram that was recorded on the way can be sent again.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;
use thiserror::Error;

/// The bytes of a key, as many as the hash has.
const SECRET_BYTES: usize = 32;
/// The bytes of a tag. Half of the hash leaves a forger one chance in 2^128.
const TAG_BYTES: usize = 16;
/// The number that stands for no key.
const UNSIGNED: u8 = 0;

/// Why text is no list of keys.
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

/// Why a datagram is not from a VM that knows a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// It is too short to hold a tag.
    #[error("the datagram is too short for a tag")]
    Short,
    /// It has no tag, although this VM has keys.
    #[error("the datagram has no tag")]
    Unsigned,
    /// It is signed with a key that this VM does not have.
    #[error("the key of the datagram is not known")]
    UnknownKey,
    /// Its tag does not fit its bytes.
    #[error("the tag does not fit the datagram")]
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
    /// Adds the tag of the first key to a message.
    pub fn seal(&self, message: &[u8]) -> Vec<u8> {
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

    /// Returns the message of a datagram whose tag holds.
    ///
    /// # Errors
    ///
    /// Says why the datagram can't be trusted.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], SealError> {
        let (number, rest) = datagram.split_first().ok_or(SealError::Short)?;
        if *number == UNSIGNED {
            return if self.0.is_empty() { Ok(rest) } else { Err(SealError::Unsigned) };
        }
        let (tag, message) = rest.split_at_checked(TAG_BYTES).ok_or(SealError::Short)?;
        if self.0.is_empty() {
            return Ok(message);
        }
        let key = self.0.iter().find(|key| key.number == *number).ok_or(SealError::UnknownKey)?;
        let verified = key.mac(message).verify_truncated_left(tag);
        verified.map(|()| message).map_err(|_| SealError::WrongTag)
    }
}

impl PeerKey {
    /// The number is part of what is signed, so that a tag counts for one key only.
    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        let mut mac = mac.unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(&[self.number]);
        mac.update(message);
        mac
    }
}

impl FromStr for PeerKeys {
    type Err = KeyError;

    /// Reads keys as `NUMBER:HEX`, with commas between them, the signing one first.
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
    for (place, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * place..][..2], 16).ok()?;
    }
    Some(secret)
}

/// Shows the numbers alone, since settings may be logged.
impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|key| key.number)).finish()
    }
}
