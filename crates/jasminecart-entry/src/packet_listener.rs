//! Inert stand-in of the packet listener: it binds its sockets, routes nothing, and answers its commands.

use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::flow::{FlowCounters, FlowExplanation, FlowKey, FlowMessage, Router};
use jasminecart_core::message::Outgoing;
use jasminecart_core::names::VmId;
use jasminecart_core::process::Members;
use jasminecart_core::version::Document;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::clock::Clock;

/// The addresses of the packet listener.
#[derive(Clone, Copy, Debug)]
pub struct PacketListenerConfig {
    /// The UDP address for packets from the fabric.
    pub packets: SocketAddr,
    /// The UDP address for packets from other VMs.
    pub peer_packets: SocketAddr,
}

/// What the control actor tells or asks the packet task.
#[derive(Debug)]
pub enum PacketCommand {
    /// A document came into force.
    Document(Arc<Document>),
    /// The list of members changed.
    Members(Members),
    /// A message for the router arrived.
    Message {
        /// The sender.
        from: VmId,
        /// The message.
        message: FlowMessage,
    },
    /// An operator asks where a flow goes.
    Explain {
        /// The flow.
        key: FlowKey,
        /// Where the answer goes.
        reply: oneshot::Sender<FlowExplanation>,
    },
    /// The counts are wanted.
    Counters {
        /// Where the answer goes.
        reply: oneshot::Sender<PacketCounters>,
    },
    /// The VM starts a planned stop.
    Leave {
        /// Told when everything was handed over.
        drained: oneshot::Sender<()>,
    },
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct PacketCounters {
    /// The counts of the router.
    pub flow: FlowCounters,
}

/// The packet listener.
#[derive(Debug)]
pub struct PacketListener {
    commands: mpsc::Sender<PacketCommand>,
    addresses: (SocketAddr, SocketAddr),
    task: JoinHandle<()>,
}

impl PacketListener {
    /// Binds the sockets and starts the packet task.
    pub async fn start(
        cfg: PacketListenerConfig,
        clock: Clock,
        router: Router,
        _outgoing: mpsc::Sender<Outgoing>,
    ) -> Result<PacketListener, std::io::Error> {
        let packets = UdpSocket::bind(cfg.packets).await?;
        let peer_packets = UdpSocket::bind(cfg.peer_packets).await?;
        let addresses = (packets.local_addr()?, peer_packets.local_addr()?);
        let (commands, inbox) = mpsc::channel(1_024);
        let task = tokio::spawn(run(clock, router, inbox, (packets, peer_packets)));
        Ok(PacketListener { commands, addresses, task })
    }

    /// Returns the channel for commands.
    pub fn commands(&self) -> mpsc::Sender<PacketCommand> {
        self.commands.clone()
    }

    /// Returns the bound addresses for packets from the fabric and from other VMs.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        self.addresses
    }
}

impl Drop for PacketListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    clock: Clock,
    mut router: Router,
    mut inbox: mpsc::Receiver<PacketCommand>,
    _sockets: (UdpSocket, UdpSocket),
) {
    while let Some(command) = inbox.recv().await {
        match command {
            PacketCommand::Document(document) => {
                router.set_document(clock.now(), &document);
            }
            PacketCommand::Members(members) => {
                router.set_members(clock.now(), &members);
            }
            PacketCommand::Message { from, message } => {
                router.on_message(clock.now(), &from, message);
            }
            PacketCommand::Explain { key, reply } => {
                let _ = reply.send(router.explain(clock.now(), &key));
            }
            PacketCommand::Counters { reply } => {
                let _ = reply.send(PacketCounters { flow: router.counters().clone() });
            }
            PacketCommand::Leave { drained } => {
                let _ = drained.send(());
            }
        }
    }
}
