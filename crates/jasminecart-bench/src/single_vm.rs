//! A data centre with a single VM, for measurements of one module.

use std::net::SocketAddr;

use jasminecart_core::process::{Member, MemberState, Members, PeerAddress};
use jasminecart_core::version::Revision;
use jasminecart_core::{Incarnation, Millis, VmId};

/// Returns the member list of the only VM of a data centre, which has adopted `revision`.
pub(crate) fn members(me: VmId, revision: Revision) -> Members {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = Member {
        vm: me.clone(),
        incarnation: Incarnation(1),
        state: MemberState::Active,
        size: 1,
        address: PeerAddress { control: address, packets: address, requests: address },
        revision,
        heard_at: Millis(1),
    };
    Members::new(me, vec![member])
}
