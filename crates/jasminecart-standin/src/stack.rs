//! A TCP/IP stack in user space, so that stand-ins and tests control where every packet goes.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// The MTU of the stack. Encapsulated packets of this size fit the MTU between VMs.
pub const STACK_MTU: usize = 1_400;
/// The size of the receive buffer and of the send buffer of a TCP socket.
const SOCKET_BUFFER_BYTES: usize = 4_096;
/// The time after which a half-open connection is aborted.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);

/// A host with one IPv4 address. The caller passes received packets to [`Stack::push`] and sends those that
/// [`Stack::pop`] returns.
pub struct Stack {
    device: Queues,
    interface: Interface,
    sockets: SocketSet<'static>,
    started: Instant,
}

impl std::fmt::Debug for Stack {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stack").field("sockets", &self.sockets.iter().count()).finish()
    }
}

impl Stack {
    /// Creates a host that accepts packets to any address. The caller filters them.
    pub fn new(address: Ipv4Addr, seed: u64) -> Stack {
        let mut device = Queues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, smoltcp::time::Instant::ZERO);
        interface.update_ip_addrs(|addresses| {
            // The list is empty, so that there is room for one address.
            let _ = addresses.push(IpCidr::new(IpAddress::Ipv4(address), 32));
        });
        let _ = interface.routes_mut().add_default_ipv4_route(address);
        interface.set_any_ip(true);
        let sockets = SocketSet::new(Vec::new());
        Stack { device, interface, sockets, started: Instant::now() }
    }

    /// Adds a received packet.
    pub fn push(&mut self, packet: Vec<u8>) {
        self.device.received.push_back(packet);
    }

    /// Processes received packets and timers.
    pub fn poll(&mut self) {
        let now = self.now();
        self.interface.poll(now, &mut self.device, &mut self.sockets);
    }

    /// Takes the next packet to send out of its queue.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        self.device.to_send.pop_front()
    }

    /// Returns the time until the next [`Stack::poll`] is due if no packet arrives, or `None` if no timer runs.
    pub fn next_poll(&mut self) -> Option<Duration> {
        let now = self.now();
        self.interface.poll_delay(now, &self.sockets).map(Duration::from)
    }

    /// Adds a socket that accepts one connection.
    pub fn listen(&mut self, at: SocketAddrV4) -> SocketHandle {
        let mut socket = new_socket();
        // The only error is a port of 0. It leaves a closed socket, which refuses the connection.
        let _ = socket.listen((IpAddress::Ipv4(*at.ip()), at.port()));
        self.sockets.add(socket)
    }

    /// Adds a socket that connects.
    pub fn connect(&mut self, from: SocketAddrV4, to: SocketAddrV4) -> SocketHandle {
        let mut socket = new_socket();
        let local = (IpAddress::Ipv4(*from.ip()), from.port());
        let remote = (IpAddress::Ipv4(*to.ip()), to.port());
        // An invalid address leaves a closed socket, which the caller handles as a refused connection.
        let _ = socket.connect(self.interface.context(), remote, local);
        self.sockets.add(socket)
    }

    /// Returns a socket of the stack.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a socket without closing its connection.
    pub fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }

    fn now(&self) -> smoltcp::time::Instant {
        let micros = i64::try_from(self.started.elapsed().as_micros()).unwrap_or(i64::MAX);
        smoltcp::time::Instant::from_micros(micros)
    }
}

fn new_socket() -> tcp::Socket<'static> {
    let buffer = || tcp::SocketBuffer::new(vec![0; SOCKET_BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(buffer(), buffer());
    socket.set_timeout(Some(SOCKET_TIMEOUT.into()));
    socket.set_nagle_enabled(false);
    socket
}

/// The network device of a stack: a queue of packets in each direction.
#[derive(Debug, Default)]
struct Queues {
    received: VecDeque<Vec<u8>>,
    to_send: VecDeque<Vec<u8>>,
}

impl Device for Queues {
    type RxToken<'a> = Incoming;
    type TxToken<'a> = Sending<'a>;

    fn receive(&mut self, _: smoltcp::time::Instant) -> Option<(Incoming, Sending<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Incoming(packet), Sending(&mut self.to_send)))
    }

    fn transmit(&mut self, _: smoltcp::time::Instant) -> Option<Sending<'_>> {
        Some(Sending(&mut self.to_send))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = STACK_MTU;
        capabilities
    }
}

struct Incoming(Vec<u8>);

impl RxToken for Incoming {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

struct Sending<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for Sending<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
