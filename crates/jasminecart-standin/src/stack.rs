//! A TCP/IP stack in user space, so that tests decide the way of every packet.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// The MTU of the stack. Its packets fit the MTU between VMs after encapsulation.
pub const STACK_MTU: usize = 1_400;
/// The buffers of a TCP socket, in bytes each.
const SOCKET_BUFFER_BYTES: usize = 4_096;
/// A half-open connection is given up after this time.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);

/// A host with one or more IPv4 addresses. Packets go in by [`Stack::push`] and come out by [`Stack::pop`].
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
    /// Creates a host that accepts packets to any address, as the caller filters them.
    pub fn new(address: Ipv4Addr, seed: u64) -> Stack {
        let mut device = Queues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, smoltcp::time::Instant::ZERO);
        interface.update_ip_addrs(|addresses| {
            // The list is empty, so there is room for one address.
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

    /// Takes a packet to send.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        self.device.to_send.pop_front()
    }

    /// Returns how long the stack can wait for the next [`Stack::poll`] without a packet.
    pub fn next_poll(&mut self) -> Option<Duration> {
        let now = self.now();
        self.interface.poll_delay(now, &self.sockets).map(Duration::from)
    }

    /// Adds a socket that accepts one connection.
    pub fn listen(&mut self, at: SocketAddrV4) -> SocketHandle {
        let mut socket = new_socket();
        // A port of 0 is the only error, and it leaves a closed socket, which refuses the connection.
        let _ = socket.listen((IpAddress::Ipv4(*at.ip()), at.port()));
        self.sockets.add(socket)
    }

    /// Adds a socket that connects.
    pub fn connect(&mut self, from: SocketAddrV4, to: SocketAddrV4) -> SocketHandle {
        let mut socket = new_socket();
        let local = (IpAddress::Ipv4(*from.ip()), from.port());
        let remote = (IpAddress::Ipv4(*to.ip()), to.port());
        // An unusable address leaves a closed socket, which the caller sees as refused.
        let _ = socket.connect(self.interface.context(), remote, local);
        self.sockets.add(socket)
    }

    /// Returns a socket.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a socket without telling the other end.
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

/// The two packet queues of a stack.
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
