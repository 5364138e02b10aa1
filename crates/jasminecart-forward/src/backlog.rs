//! Packets that wait for the first routes and targets of a process.

use std::collections::VecDeque;

use jasminecart_core::time::Millis;

/// The maximum time that a packet waits. Small VMs have their first routes and targets within about
/// half a second of their start. A client that has waited for long repeats its request only every
/// 1.6 s by then, so that a packet dropped here may be the last one before its deadline.
pub const MAX_AGE: Millis = Millis(600);
/// The maximum number of packets that wait: 300 KB at most, and more than the busiest VM gets
/// within [`MAX_AGE`].
pub const MAX_PACKETS: usize = 256;

/// A queue of packets that arrived before the first routes and targets.
#[derive(Debug, Default)]
pub struct Backlog(VecDeque<(Millis, Box<[u8]>)>);

impl Backlog {
    /// Adds a packet. Returns whether an older one had to be dropped for it.
    pub fn push(&mut self, now: Millis, packet: &[u8]) -> bool {
        let full = self.0.len() >= MAX_PACKETS;
        if full {
            self.0.pop_front();
        }
        self.0.push_back((now, packet.into()));
        full
    }

    /// Removes all packets. Returns those that are recent enough to be forwarded, in the order of
    /// their arrival, and the number of the others.
    pub fn take(&mut self, now: Millis) -> (Vec<Box<[u8]>>, usize) {
        let packets = std::mem::take(&mut self.0);
        let count = packets.len();
        let recent = packets.into_iter().filter(|(at, _)| now.since(*at) <= MAX_AGE);
        let recent: Vec<Box<[u8]>> = recent.map(|(_, packet)| packet).collect();
        let dropped = count - recent.len();
        (recent, dropped)
    }
}
