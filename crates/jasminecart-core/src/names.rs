//! Names of objects and identities of VMs.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The length limit of a name in bytes. Names appear in metric labels and peer messages.
pub const MAX_NAME_BYTES: usize = 63;

/// A shared immutable name of a service, target, tenant, class, VM or data centre.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name without validation. Use [`Name::parse`] for untrusted text.
    pub fn new(text: impl AsRef<str>) -> Name {
        Name(Arc::from(text.as_ref()))
    }

    /// Parses a name of 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_` and `.`.
    pub fn parse(text: &str) -> Option<Name> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed);
        valid.then(|| Name::new(text))
    }

    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name::new(text)
    }
}

/// The identity of an entry VM: its data centre and its name within it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmId {
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The name of the VM, unique in its data centre.
    pub name: Name,
}

impl VmId {
    /// Creates the identity of a VM.
    pub fn new(data_centre: impl AsRef<str>, name: impl AsRef<str>) -> VmId {
        VmId { data_centre: Name::new(data_centre), name: Name::new(name) }
    }
}

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.name)
    }
}

/// The incarnation of a VM: the start time of its process in milliseconds since the Unix epoch. A
/// restart has a greater incarnation than the process before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
