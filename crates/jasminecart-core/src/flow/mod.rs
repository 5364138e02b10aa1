//! What lives as long as a connection: the routing of flows.

mod packet;
mod router;

pub use self::packet::{FlowKey, FlowPacket, ForwardHeader, FragmentKey, PacketKind};
pub use self::router::{
    DropReason, FlowCounters, FlowExplanation, FlowLimits, FlowMessage, Route, Router, vm_hash,
};
