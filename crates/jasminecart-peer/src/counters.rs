//! Counts of the peer service.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counts for metrics, as read at one moment.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $name: u64,)+
        }

        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: AtomicU64,)+
        }

        impl Counters {
            pub(crate) fn read(&self) -> PeerCounters {
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
    /// Messages dropped because the queue of the peer was full.
    dropped_queue_full,
    /// Messages dropped because they are larger than an envelope.
    dropped_too_large,
    /// Messages whose delivery is in doubt after a failed call. They are not sent again.
    dropped_in_doubt,
    /// Messages dropped because the peer has gone or has no known address.
    dropped_no_peer,
    /// Connections opened to peers.
    connected,
    /// Attempts to connect that failed.
    connect_failed,
    /// Connections replaced because they made no progress.
    replaced_silent,
    /// Connections replaced because a call failed in another way.
    replaced_failed,
    /// Envelopes that a peer refused without taking them.
    refused_by_peer,
    /// Envelopes received and accepted.
    received_envelopes,
    /// Messages in those envelopes.
    received_messages,
    /// Envelopes refused because they could not be decoded or named an invalid sender.
    received_malformed,
    /// Envelopes refused because of their protocol number.
    received_other_protocol,
    /// Envelopes refused because the receiver is overloaded.
    received_overload,
    /// Calls refused by the transport, such as frames above the size bound or unknown methods.
    received_bad_calls,
    /// Connections refused because too many are open.
    received_too_many_connections,
}

pub(crate) fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
