//! Hash tables for per-packet lookups.

/// A hash table with a keyed hash that is several times faster than the standard library's on short
/// keys. The key is random for each process, so that clients can't choose colliding addresses and
/// ports.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
