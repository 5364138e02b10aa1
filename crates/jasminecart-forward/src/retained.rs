//! Openings that are kept until their second copy is sent or no longer needed.

use std::collections::HashMap;

use jasminecart_core::flow::token::FlowId;
use jasminecart_core::time::Millis;

/// The maximum number of openings. The router schedules fewer.
const MAX_OPENINGS: usize = 512;

/// The packets of openings, by flow and time at which they were forwarded.
#[derive(Debug, Default)]
pub(crate) struct RetainedOpenings(HashMap<(FlowId, Millis), Box<[u8]>>);

impl RetainedOpenings {
    pub(crate) fn insert(&mut self, flow: FlowId, sent_at: Millis, datagram: &[u8]) {
        if self.0.len() < MAX_OPENINGS {
            self.0.insert((flow, sent_at), datagram.into());
        }
    }

    pub(crate) fn take(&mut self, flow: FlowId, sent_at: Millis) -> Option<Box<[u8]>> {
        self.0.remove(&(flow, sent_at))
    }
}
