"""Stand-ins for the users' platform on loopback: store, endpoints, clients and routers.

They follow PROTOCOL.md and DEPLOY.md and use the standard library only. The processes under test are started with
the command and the template of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
import zlib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HEADER_BYTES = 31
RST, ACK, BOUNCED, SYN, FIN = 1, 2, 4, 8, 32
MAX_DATA = 1200
HEARTBEAT_S = 1.2
RETRANSMIT_S = [0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6]


# Packets


def keyed_sum(header, data):
    """The sum over all fields except echo and the BOUNCED flag. 0 is reserved for the system's own resets."""
    flags = bytes([header[30] & ~BOUNCED])
    return zlib.crc32(b"key" + bytes(header[4:18]) + bytes(header[22:30]) + flags + data) | 1


class Packet:
    def __init__(self, echo, src, dst, seq, ack, flags, data=b""):
        self.echo, self.src, self.dst = echo, src, dst
        self.seq, self.ack, self.flags, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags, data
        self.own_reset = False

    def encode(self):
        header = bytearray(HEADER_BYTES)
        header[0:4] = self.echo.to_bytes(4, "big")
        header[4:6] = self.src[1].to_bytes(2, "big")
        header[6:10] = socket.inet_aton(self.dst[0])
        header[10:12] = self.dst[1].to_bytes(2, "big")
        header[12:16] = socket.inet_aton(self.src[0])
        header[16:18] = len(self.data).to_bytes(2, "big")
        header[22:26] = self.seq.to_bytes(4, "big")
        header[26:30] = self.ack.to_bytes(4, "big")
        header[30] = self.flags
        header[18:22] = keyed_sum(header, self.data).to_bytes(4, "big")
        return bytes(header) + self.data

    @staticmethod
    def decode(datagram):
        """Returns the packet, or None if its length or sum is wrong. A reset of the system has the sum 0."""
        if len(datagram) < HEADER_BYTES:
            return None
        header, data = datagram[:HEADER_BYTES], datagram[HEADER_BYTES:]

        def number(start, length):
            return int.from_bytes(header[start : start + length], "big")

        if number(16, 2) != len(data):
            return None
        packet = Packet(
            number(0, 4),
            (socket.inet_ntoa(header[12:16]), number(4, 2)),
            (socket.inet_ntoa(header[6:10]), number(10, 2)),
            number(22, 4),
            number(26, 4),
            header[30],
            data,
        )
        packet.own_reset = packet.flags & RST != 0 and number(18, 4) == 0
        if not packet.own_reset and number(18, 4) != keyed_sum(header, data):
            return None
        return packet


# The record


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


# The store


class Store:
    """The platform's metadata store: kv-key, kv-range and kv-watch over HTTP/1.1."""

    PAGE_ITEMS = 500

    def __init__(self):
        self.revision = random.randint(3, 50)
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.connections = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()

    async def put(self, key, value):
        """Writes an item. Returns its revision, which acknowledges it."""
        value = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.change(key, value)

    async def delete(self, key):
        return await self.change(key, None)

    async def change(self, key, value):
        async with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"Key": key, "Revision": self.revision, "Deleted": True}
            else:
                event = {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Revision": self.revision,
                    "CreatedAt": self.items.get(key, {}).get("CreatedAt", self.revision),
                    "Lease": 0,
                }
                self.items[key] = event
            self.events.append(event)
            self.changed.notify_all()
            return self.revision

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                target = line.split()[1].decode()
                while (await reader.readline()).strip():
                    pass
                status, body = await self.respond(target)
                body = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, IndexError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("Prefix", "")
        if url.path == "/kv-key":
            item = self.items.get(query.get("Key"))
            return (200, dict(item, CurrentRev=self.revision)) if item else (404, {})
        if url.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[: self.PAGE_ITEMS]]
            return 200, {"items": items, "HasMore": len(keys) > self.PAGE_ITEMS, "CurrentRev": self.revision}
        if url.path == "/kv-watch":
            after, wait_s = int(query["after"]), int(query["WaitMs"]) / 1000
            deadline = time.monotonic() + wait_s
            async with self.changed:
                while True:
                    events = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
                    left = deadline - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "CurrentRev": self.revision}
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}


# Endpoints


class EndpointFlow:
    """A flow at an endpoint, half open until its own seq is acknowledged."""

    def __init__(self, client, service, seq, peer_seq):
        self.client, self.service = client, service
        self.seq, self.next_seq = seq, seq + 1
        self.expected = peer_seq + 1
        self.open = False
        self.echo = 0
        self.buffer = b""
        self.received = 0
        self.unacked = []
        self.retries = 0
        self.timer = None
        self.closing = False


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint in the form `echo`: receives 8 bytes and a packet, and responds to the client directly."""

    def __init__(self, deployment, ident, service, zone="z-a", slots=2, queue=8, work_s=lambda: 0.005):
        self.deployment, self.ident, self.service, self.zone = deployment, ident, service, zone
        self.label = int(re.sub("[^0-9a-f]", "", ident.split("-")[-1]), 16)
        self.slots, self.queue_limit, self.work_s = slots, queue, work_s
        self.state = "ready"
        self.flows = {}
        self.waiting, self.busy = [], 0
        self.sequence = 0
        self.started = time.time()
        self.cold_until = 0.0
        self.alive = True
        # A hook of a case: returns whether a packet of the endpoint is lost on its way to the client.
        self.loses = lambda packet: False

    async def start(self, ip):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, 0))
        self.address = self.transport.get_extra_info("sockname")
        await self.heartbeat()
        self.task = asyncio.create_task(self.run_heartbeats())

    def entry(self):
        cold_ms = max(0, int((self.cold_until - time.time()) * 1000))
        return {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "ConfigVersion": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": cold_ms,
            "Sequence": self.sequence,
            "born": int(self.started * 1000),
        }

    async def heartbeat(self):
        """Reports to the store. The entry changes only when more than the sequence does."""
        self.sequence += 1
        entry, key = self.entry(), f"servers/{self.ident}"
        known = self.deployment.store.value(key)
        try:
            known = json.loads(known) if known else None
        except ValueError:
            known = None
        rest = lambda e: {k: v for k, v in e.items() if k != "Sequence"} if isinstance(e, dict) else None
        if rest(known) != rest(entry):
            await self.deployment.store.put(key, entry)

    async def run_heartbeats(self):
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive:
                await self.heartbeat()

    def send(self, flow, flags, seq, data=b""):
        packet = Packet(flow.echo, flow.service, flow.client, seq, flow.expected, flags, data)
        self.send_packet(packet)

    def send_packet(self, packet):
        if not self.loses(packet):
            to = (packet.dst[0], self.deployment.packet_port)
            self.transport.sendto(packet.encode(), to)

    def datagram_received(self, datagram, _):
        if not self.alive:
            return
        label = int.from_bytes(datagram[:8], "big")
        packet = Packet.decode(datagram[8:])
        record = self.deployment.record
        if packet is None:
            record.line(f"endpoint {self.ident} got a packet that its sender didn't write so")
            self.deployment.altered += 1
            return
        if label not in (0, self.label):
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.on_syn(key, flow, packet)
        elif packet.flags & RST:
            self.drop_flow(key)
        elif flow is None or (not flow.open and packet.ack != flow.seq + 1 & 0xFFFFFFFF):
            # A flow that this endpoint doesn't hold.
            if flow is not None:
                self.drop_flow(key)
            record.line(f"endpoint {self.ident} resets flow {key[0]} of which it got a packet and holds none")
            self.send_packet(Packet(packet.echo, packet.dst, packet.src, packet.ack, packet.seq, RST))
            self.deployment.foreign[key] = (self.ident, self.deployment.taken.get(key))
        else:
            self.on_segment(key, flow, packet)

    def on_syn(self, key, flow, packet):
        if flow is None:
            flow = EndpointFlow(packet.src, packet.dst, random.getrandbits(31), packet.seq)
            self.flows[key] = flow
            self.deployment.on_opening(self, packet)
            self.schedule(key, flow)
        flow.echo = packet.echo
        if not flow.open:
            self.send(flow, SYN | ACK, flow.seq)

    def schedule(self, key, flow):
        """Retransmits what is not acknowledged after 200 ms; the interval doubles up to 1.6 s."""
        if flow.timer:
            flow.timer.cancel()
        if flow.retries >= len(RETRANSMIT_S):
            return self.drop_flow(key)
        delay = RETRANSMIT_S[flow.retries]
        flow.timer = asyncio.get_running_loop().call_later(delay, self.retransmit, key, flow)

    def retransmit(self, key, flow):
        if self.flows.get(key) is not flow or not self.alive:
            return
        flow.retries += 1
        if not flow.open:
            self.send(flow, SYN | ACK, flow.seq)
        elif flow.unacked:
            for seq, data in flow.unacked[:16]:
                self.send(flow, ACK, seq, data)
        else:
            return
        self.schedule(key, flow)

    def on_segment(self, key, flow, packet):
        flow.echo = packet.echo
        if not flow.open:
            flow.open = True
            flow.retries = 0
            flow.timer.cancel()
            self.deployment.opened[key] = self.ident
            self.deployment.record.line(f"endpoint {self.ident} opens flow {key[0]}")
        behind = lambda seq: (seq - packet.ack) & 0xFFFFFFFF
        left = [(seq, data) for seq, data in flow.unacked if behind(seq + len(data)) not in (0,) and behind(seq + len(data)) < 1 << 31]
        if len(left) < len(flow.unacked):
            flow.retries = 0
            flow.unacked = left
            if left:
                self.schedule(key, flow)
        if packet.data:
            flow.received += 1
            if packet.seq == flow.expected & 0xFFFFFFFF:
                flow.expected += len(packet.data)
                flow.buffer += packet.data
            # Acknowledges every second packet.
            if flow.received % 2 == 0:
                self.send(flow, ACK, flow.next_seq)
            self.take_requests(key, flow)
        if packet.flags & FIN:
            flow.expected += 1
            self.send(flow, ACK | FIN, flow.next_seq)
            self.drop_flow(key)

    def take_requests(self, key, flow):
        while b"\r\n\r\n" in flow.buffer:
            head, rest = flow.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            length = int(headers.get("Content-Length", 0))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            request = headers["X-Jasminecart-Request-Id"]
            if self.busy < self.slots:
                self.run(key, flow, request)
            elif len(self.waiting) < self.queue_limit:
                self.waiting.append((key, flow, request))
            else:
                self.respond(key, flow, request, 503, "X-Jasminecart-Not-Executed: 1\r\n", b"")

    def run(self, key, flow, request):
        self.busy += 1
        self.deployment.on_run(self, key, request)
        asyncio.get_running_loop().call_later(self.work_s(), self.finish, key, flow, request)

    def finish(self, key, flow, request):
        self.busy -= 1
        if self.alive:
            stamp = f"X-Jasminecart-Response-Stamp: {self.ident}/{request}\r\n"
            self.respond(key, flow, request, 200, stamp, f"{self.service} {request}\n".encode())
            if self.waiting:
                self.run(*self.waiting.pop(0))

    def respond(self, key, flow, request, status, extra, body):
        if self.flows.get(key) is not flow:
            return
        head = f"HTTP/1.1 {status} X\r\nX-Jasminecart-Request-Id: {request}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        for start in range(0, len(data), MAX_DATA):
            part = data[start : start + MAX_DATA]
            flow.unacked.append((flow.next_seq, part))
            self.send(flow, ACK, flow.next_seq, part)
            flow.next_seq += len(part)
        self.schedule(key, flow)

    def drop_flow(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow.timer:
            flow.timer.cancel()

    def crash(self):
        """Ends without a word."""
        self.alive = False
        self.transport.close()
        self.task.cancel()


# Clients


class Attempt:
    """One flow of a client. Requests on it run one after the other."""

    def __init__(self, client, port, service):
        self.client, self.src, self.dst = client, (client.ip, port), service
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.state = "opening"
        self.copies = 0
        self.buffer = b""
        self.received = 0
        self.unacked = None
        self.retries = 0
        self.timer = None
        self.opened = asyncio.get_running_loop().create_future()
        self.answer = None
        self.request = None
        self.endpoint = None
        self.reset_by = None

    def send(self, flags, seq, data=b"", ack=None):
        ack = self.ack if ack is None else ack
        packet = Packet(self.echo, self.src, self.dst, seq, ack, flags, data)
        self.client.deployment.route(self.client, packet)

    async def open(self):
        """Sends an opening and its copies. Returns whether the flow opened."""
        loop = asyncio.get_running_loop()
        for copy, delay in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, ack=copy)
            try:
                return await asyncio.wait_for(asyncio.shield(self.opened), delay)
            except asyncio.TimeoutError:
                continue
        self.state = "closed"
        return False

    async def ask(self, request, method="GET", body=b"", deadline_s=2.0):
        """Sends a request and returns its status, or 'reset', 'deadline' or 'closed'."""
        if self.state != "open":
            return "closed"
        text = (
            f"{method} / HTTP/1.1\r\nHost: x\r\nX-Jasminecart-Request-Id: {request}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        data = text.encode() + body
        assert len(data) <= MAX_DATA
        self.request, self.answer = request, asyncio.get_running_loop().create_future()
        self.unacked, self.retries = (self.seq, data), 0
        self.send(ACK, self.seq, data)
        self.seq += len(data)
        self.schedule()
        try:
            return await asyncio.wait_for(self.answer, deadline_s)
        except asyncio.TimeoutError:
            self.stop_timer()
            return "deadline"

    def schedule(self):
        self.stop_timer()
        delay = RETRANSMIT_S[min(self.retries, len(RETRANSMIT_S) - 1)]
        self.timer = asyncio.get_running_loop().call_later(delay, self.retransmit)

    def stop_timer(self):
        if self.timer:
            self.timer.cancel()

    def retransmit(self):
        if self.state == "open" and self.unacked:
            self.retries += 1
            self.send(ACK, *self.unacked)
            self.schedule()

    def on_packet(self, packet):
        if packet.own_reset or packet.flags & RST:
            return self.on_reset(packet)
        # The last echo that was received on the flow.
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.state == "opening":
                self.state, self.seq, self.ack = "open", self.seq + 1, packet.seq + 1
                self.send(ACK, self.seq)
                if not self.opened.done():
                    self.opened.set_result(True)
            return
        if self.state != "open":
            return
        if self.unacked and packet.ack == self.seq & 0xFFFFFFFF:
            self.unacked = None
            self.stop_timer()
        if packet.data:
            self.received += 1
            if packet.seq == self.ack & 0xFFFFFFFF:
                self.ack += len(packet.data)
                self.buffer += packet.data
                self.take_answer()
            self.send(ACK, self.seq)

    def take_answer(self):
        if b"\r\n\r\n" not in self.buffer:
            return
        head, rest = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        length = int(headers["Content-Length"])
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        if self.answer and not self.answer.done():
            self.answer.set_result(int(lines[0].split()[1]))

    def on_reset(self, packet):
        near = lambda a, b: min((a - b) & 0xFFFFFFFF, (b - a) & 0xFFFFFFFF) <= 76800
        if self.state == "closed" or (self.state == "open" and not near(packet.seq, self.ack & 0xFFFFFFFF)):
            return
        was, self.state = self.state, "closed"
        self.stop_timer()
        self.reset_by = "system" if packet.own_reset else "endpoint"
        self.client.deployment.on_reset(self, was)
        if not self.opened.done():
            self.opened.set_result(False)
        if self.answer and not self.answer.done():
            self.answer.set_result("reset")

    def close(self):
        self.stop_timer()
        if self.state == "open":
            self.send(ACK | FIN, self.seq)
        self.state = "closed"


class Client(asyncio.DatagramProtocol):
    """A client with one address, which receives packets at the port of the VMs' packet listeners."""

    def __init__(self, deployment, ip):
        self.deployment, self.ip = deployment, ip
        self.next_port = random.randint(1025, 20000)
        self.attempts = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        address = (self.ip, self.deployment.packet_port)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def attempt(self, service):
        self.next_port += 1
        attempt = Attempt(self, self.next_port, service)
        self.attempts[self.next_port] = attempt
        return attempt

    def datagram_received(self, datagram, _):
        packet = Packet.decode(datagram)
        if packet is None:
            self.deployment.altered += 1
            return
        attempt = self.attempts.get(packet.dst[1])
        if attempt and packet.src == attempt.dst:
            attempt.on_packet(packet)


# Processes under test


def render(template, fields):
    """Fills in a template as DEPLOY.md says, as far as deploy/settings.ini uses it."""

    def find(name):
        value = fields
        for part in name.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, ValueError, TypeError):
                return None
        return value

    def section(match):
        value = find(match[1])
        return match[2] if value is not None and value is not False else ""

    def text(match):
        value = find(match[1])
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Vm:
    """A machine with one process, which is started as the deploy file says."""

    def __init__(self, deployment, name, ip, zone, limits=None):
        self.deployment, self.name, self.ip, self.zone = deployment, name, ip, zone
        self.limits = limits or {"CpuShare": 0.25, "LinkMbps": 1000.0}
        self.process = None
        self.misses = 2
        self.seeds = None
        self.starts = 0
        # Whether the routers probe the machine.
        self.probed = True

    @property
    def in_rotation(self):
        return self.misses < 2

    def start(self):
        deployment = self.deployment
        role = next(iter(deployment.deploy["roles"].values()))
        fields = {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": self.zone,
            "Limits": self.limits,
            "ListenAddrs": {
                "DatagramAddr": f"{self.ip}:{deployment.packet_port}",
                "Ready": f"{self.ip}:{deployment.ready_port}",
                "Control": f"{self.ip}:{deployment.control_port}",
            },
            "InternalPorts": [deployment.internal_port, deployment.internal_port],
            "Seeds": deployment.seeds if self.seeds is None else self.seeds,
            "platform": {"Address": "%s:%d" % deployment.store.address},
            "Bounds": deployment.bounds,
        }
        settings = deployment.folder / f"{self.name}.ini"
        settings.write_text(render((REPOSITORY / role["template"]).read_text(), fields))
        self.starts += 1
        log = open(deployment.folder / f"{self.name}-{self.starts}.log", "wb")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["JASMINECART_SETTINGS"] = str(settings)
        command = role["run"].split()
        command[0] = str(REPOSITORY / command[0])
        self.process = subprocess.Popen(command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        log.close()
        deployment.record.line(f"VM {self.name} starts")

    def signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.line(f"VM {self.name} gets {signal.Signals(number).name}")

    async def probe(self):
        """Two misses take the machine out of rotation until it responds with 200 again."""
        while True:
            if self.process and self.process.poll() is None and self.probed:
                ready = await self.is_ready()
            else:
                ready = False
            before = self.in_rotation
            self.misses = 0 if ready else self.misses + 1
            if before != self.in_rotation:
                change = "enters" if self.in_rotation else "leaves"
                self.deployment.record.line(f"VM {self.name} {change} the rotation")
            await asyncio.sleep(0.5)

    async def is_ready(self):
        try:
            opening = asyncio.open_connection(self.ip, self.deployment.ready_port)
            reader, writer = await asyncio.wait_for(opening, 0.4)
            writer.write(f"GET /readiness HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


# The deployment


class Deployment:
    """One zone or several on loopback addresses, with free ports and a temporary folder."""

    def __init__(self, folder, bounds=None):
        self.record = Record(folder)
        self.deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.bounds = bounds or {}
        self.net = f"127.{random.randint(20, 250)}"
        self.folder = Path(tempfile.mkdtemp(prefix="jasminecart-review-"))
        self.packet_port, self.ready_port, self.control_port, self.internal_port = self.free_ports(4)
        self.store = Store()
        self.vms, self.endpoints, self.clients, self.tasks = [], [], [], []
        self.seeds = []
        self.altered = 0
        self.openings, self.runs, self.resets = [], [], []
        # The machine through which each opening came.
        self.opening_vms = []
        # The endpoint at which each flow opened.
        self.opened = {}
        # The endpoint that last reset a flow which it did not hold, and the machine that took the packet.
        self.foreign = {}
        # The machine that took the last packet of each flow.
        self.taken = {}
        # When clients sent their openings, by flow and number of the copy.
        self.sent = {}

    def free_ports(self, count):
        sockets = []
        for _ in range(count):
            while True:
                tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                tcp.bind(("0.0.0.0", 0))
                udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                try:
                    udp.bind(("0.0.0.0", tcp.getsockname()[1]))
                except OSError:
                    tcp.close()
                    continue
                sockets.append((tcp, udp))
                break
        ports = [tcp.getsockname()[1] for tcp, _ in sockets]
        for pair in sockets:
            for one in pair:
                one.close()
        return ports

    async def start_store(self):
        await self.store.start(f"{self.net}.4.1")

    async def put_config(self, version, routes, services, idle_ms=12000):
        """Writes the configuration. `routes` holds (name, address, type, service) and further fields."""
        config = {
            "ConfigVersion": version,
            "Routes": [
                {
                    "Name": name,
                    "Host": address[0],
                    "Prefix": f"/{address[1]}/",
                    "RouteType": kind,
                    "TimeoutMs": 1200,
                    "TargetLatencyMs": 200,
                    "Priority": 1,
                    "Service": service,
                    "Attempts": 2,
                }
                for name, address, kind, service in routes
            ],
            "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutMs": idle_ms},
        }
        await self.store.put("op/config", config)
        self.record.line(f"the store acknowledges version {version} of the configuration")

    def add_vm(self, zone="z-a", limits=None):
        number = len(self.vms) + 1
        vm = Vm(self, f"frontend-{zone}-{number}", f"{self.net}.1.{number}", zone, limits)
        self.vms.append(vm)
        self.tasks.append(asyncio.create_task(vm.probe()))
        return vm

    async def add_endpoint(self, service, zone="z-a", ident=None, cold_s=0.0, **options):
        ident = ident or f"i-{random.getrandbits(40):010x}"
        endpoint = Endpoint(self, ident, service, zone, **options)
        endpoint.cold_until = time.time() + cold_s if cold_s else 0.0
        self.endpoints.append(endpoint)
        await endpoint.start(f"{self.net}.2.{len(self.endpoints)}")
        return endpoint

    async def add_client(self):
        client = Client(self, f"{self.net}.3.{len(self.clients) + 1}")
        self.clients.append(client)
        await client.start()
        return client

    def address(self, number, port=8443):
        """An address of the platform for a route."""
        return (f"{self.net}.9.{number}", port)

    def route(self, client, packet):
        """Forwards a packet as the routers do with `mod`: by a hash over the machines in rotation."""
        if packet.flags & SYN:
            self.sent[packet.src, packet.dst, packet.ack] = self.record.now()
        ready = [vm for vm in self.vms if vm.in_rotation]
        if 2 * len(ready) < len(self.vms):
            ready = self.vms
        text = f"{packet.src}{packet.dst}".encode()
        vm = ready[zlib.crc32(text) % len(ready)]
        self.taken[packet.src, packet.dst] = vm
        client.transport.sendto(packet.encode(), (vm.ip, self.packet_port))

    # What the stand-ins report

    def on_opening(self, endpoint, packet):
        sent_at = self.sent[packet.src, packet.dst, packet.ack]
        self.openings.append((sent_at, self.record.now(), endpoint.ident))
        self.opening_vms.append(self.taken[packet.src, packet.dst].name)
        self.record.line(f"endpoint {endpoint.ident} of {endpoint.service} takes an opening of {packet.src} to {packet.dst}")

    def late_openings(self, idents, since):
        """Returns the arrival, endpoint and machine of the openings that were sent and taken after a time."""
        openings = zip(self.openings, self.opening_vms)
        return [(at, ident, vm) for (sent, at, ident), vm in openings if ident in idents and sent > since and at > since]

    def on_run(self, endpoint, key, request):
        self.runs.append((self.record.now(), endpoint.ident, endpoint.service, request, key[1]))
        self.record.line(f"endpoint {endpoint.ident} of {endpoint.service} runs request {request} to {key[1]}")

    def on_reset(self, attempt, was):
        self.resets.append((self.record.now(), attempt, was))
        self.record.line(f"client {attempt.src} gets a reset of its {was} flow to {attempt.dst}, from the {attempt.reset_by}")

    async def ready(self, timeout_s=10.0):
        """Waits until all started machines are in rotation."""
        deadline = time.monotonic() + timeout_s
        while not all(vm.in_rotation for vm in self.vms if vm.process):
            if time.monotonic() > deadline:
                raise CannotRun("the machines did not become ready")
            await asyncio.sleep(0.05)

    async def close(self, keep=False):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.terminate()
        for vm in self.vms:
            if vm.process:
                try:
                    await asyncio.to_thread(vm.process.wait, 6)
                except subprocess.TimeoutExpired:
                    vm.process.kill()
                    vm.process.wait()
        self.record.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case couldn't run."""


def main(case, file, bounds=None):
    """Runs `case(deployment, trouble)`, which returns the violations. Exits with 1 if there are any, 0 if there are none,
    and 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(file).resolve().parent

    async def run():
        deployment = Deployment(folder, bounds)
        keep = bool(os.environ.get("KEEP"))
        try:
            deployment.record.line(f"the case runs {'with' if trouble else 'without'} the disruption")
            violations = await asyncio.wait_for(case(deployment, trouble), 105)
            if deployment.altered:
                violations.append(f"{deployment.altered} packets were changed on the way")
            for violation in violations:
                deployment.record.line(f"VIOLATION {violation}")
                print(violation)
            result = "broken" if violations else "held"
            deployment.record.line(f"the rule {result}")
            print(f"the rule {result}")
            return 1 if violations else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            deployment.record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            if keep:
                print(deployment.folder)
            await deployment.close(keep)

    raise SystemExit(asyncio.run(run()))
