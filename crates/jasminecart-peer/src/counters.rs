//! Counters of the peer service.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// A snapshot of the counters, exported as metrics.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $name: u64,)+
        }

        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: AtomicU64,)+
        }

        impl Counters {
            pub(crate) fn snapshot(&self) -> PeerCounters {
                PeerCounters { $($name: self.$name.load(Ordering::Relaxed),)+ }
            }
        }

        impl std::ops::Add for PeerCounters {
            type Output = PeerCounters;

            fn add(self, other: PeerCounters) -> PeerCounters {
                PeerCounters { $($name: self.$name + other.$name,)+ }
            }
        }
    };
}

counters! {
    /// Envelopes that a peer acknowledged.
    sent_envelopes,
    /// Messages in those envelopes.
    sent_messages,
    /// Bytes of those messages.
    sent_bytes,
    /// Messages dropped because the peer's queue was full.
    dropped_queue_full,
    /// Messages dropped because they exceed the size limit of a message.
    dropped_too_large,
    /// Messages whose delivery is unconfirmed after a failed call. They are not retransmitted.
    dropped_in_doubt,
    /// Messages dropped because the peer was removed, changed its address or has no known address.
    dropped_no_peer,
    /// Connections opened to peers.
    connected,
    /// Failed attempts to connect.
    connect_failed,
    /// Connections replaced because a call timed out.
    replaced_silent,
    /// Connections replaced because a call failed for another reason.
    replaced_failed,
    /// Envelopes that a peer refused. None of their messages was processed.
    refused_by_peer,
    /// Envelopes received and accepted.
    received_envelopes,
    /// Messages in those envelopes.
    received_messages,
    /// Envelopes refused because they could not be decoded, named an invalid sender or had too many messages.
    received_malformed,
    /// Envelopes refused because of their protocol version.
    received_other_protocol,
    /// Envelopes refused because the inbox was full.
    received_overload,
    /// Calls refused by the transport, such as messages above the size limit or unknown methods.
    received_bad_calls,
    /// Connections closed on arrival because too many are open.
    received_too_many_connections,
}

pub(crate) fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
