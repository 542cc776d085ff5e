"""Stand-ins for the platform of a small deployment, on loopback addresses and the real clock.

The store, the servers, the clients and the routers follow PROTOCOL.md; where that page is silent they
behave like sound ones. Daemons run as separate processes with the command of deploy/system.toml.
"""
import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, ACK, FIN, RST = 64, 16, 8, 128
HEAD = 31
MAX_DATA = 1200
COPIES_S = (0.2, 0.6)
OPEN_S = 1.4
RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6
RESET_WINDOW = 76800
HEARTBEAT_S = 0.77
READY_POLL_S = 0.5
MASK = 0xFFFFFFFF
LIFE_S = 110  # of a case; scripts may run for 120 s


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of PROTOCOL.md; addresses are integers."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b"", total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq & MASK, ack & MASK, echo, data
        self.total = total

    def checksum(self):
        fields = struct.pack("<IIIIHHB", self.src, self.dst, self.seq, self.ack, self.sport, self.dport,
                             self.flags & ~4)
        return zlib.crc32(b"key of the platform" + fields + self.data) or 1

    def encode(self):
        return struct.pack("<IIIIBHIIHH", self.seq, self.ack, self.checksum(), self.echo, self.flags,
                           self.sport, self.dst, self.src, self.dport, len(self.data)) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD:
            return None
        seq, ack, total, echo, flags, sport, dst, src, dport, size = struct.unpack("<IIIIBHIIHH", raw[:HEAD])
        if size != len(raw) - HEAD:
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, echo, raw[HEAD:], total)

    def genuine(self):
        return self.total == self.checksum()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, raw, addr):
        self.receive(raw, addr)


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def breach(self, text):
        self.broken.append(text)
        self.write("BROKEN " + text)
        print("%8.3f BROKEN %s" % (self.now(), text), flush=True)


class Store:
    """The platform's metadata store: objects by kind and name, one revision, watches."""

    def __init__(self, world, addr):
        self.world, self.addr = world, addr
        self.rev = 100
        self.era = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.addr)

    def get(self, kind, name):
        return self.objects.get(kind, {}).get(name)

    def put(self, kind, name, spec):
        """Creates or replaces an object. A heartbeat that changes only `seq` is no change."""
        old = self.get(kind, name)
        if old and old["spec"] == spec:
            return old
        if old and kind == "servers" and isinstance(old["spec"], dict) and isinstance(spec, dict) and \
                {**old["spec"], "seq": 0} == {**spec, "seq": 0}:
            return old
        self.rev += 1
        obj = {"meta": {"name": name, "rev": self.rev, "created": old["meta"]["created"] if old else self.rev,
                        "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = obj
        self.tell(kind, obj, False)
        return obj

    def delete(self, kind, name):
        obj = self.objects.get(kind, {}).pop(name, None)
        if not obj:
            return
        self.rev += 1
        gone = json.loads(json.dumps(obj))
        gone["meta"]["rev"] = self.rev
        self.tell(kind, gone, True)

    def tell(self, kind, obj, deleted):
        self.history.append((self.rev, kind, obj, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def events(self, kind, since):
        latest = {}
        for rev, its_kind, obj, deleted in self.history:
            if its_kind == kind and rev > since:
                latest[obj["meta"]["name"]] = {"deleted": deleted, "object": obj}
        return sorted(latest.values(), key=lambda e: e["object"]["meta"]["rev"])

    async def watch(self, kind, since, wait_s):
        if since > self.rev:
            return 410, {}
        end = time.monotonic() + wait_s
        while not self.events(kind, since) and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(end - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                break
        return 200, {"events": self.events(kind, since), "as_of": self.rev}

    async def answer(self, method, path, query, body):
        parts = [p for p in path.split("/") if p]
        if len(parts) < 2 or parts[0] != "objects":
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET" and name is None:
            names = sorted(n for n in self.objects.get(kind, {}) if n > query.get("after", ""))
            return 200, {"items": [self.objects[kind][n] for n in names[:50]], "more": len(names) > 50,
                         "as_of": self.rev}
        if method == "GET":
            obj = self.get(kind, name)
            return (200, obj) if obj else (404, {})
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if method in ("POST", "PUT"):
            meta = body.get("meta", {})
            name = name or meta.get("name")
            old = self.get(kind, name)
            if method == "POST" and old:
                return 409, old
            if method == "PUT" and not old:
                return 404, {}
            if old and "rev" in meta and meta["rev"] != old["meta"]["rev"]:
                return 409, old
            return 200, self.put(kind, name, body.get("spec"))
        return 404, {}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n")[0].split(" ")
            size = re.search(r"content-length: *(\d+)", head, re.I)
            raw = await reader.readexactly(int(size.group(1))) if size else b""
            path, _, text = target.partition("?")
            query = dict(p.partition("=")[::2] for p in text.split("&") if p)
            status, body = await self.answer(method, path, query, json.loads(raw) if raw else {})
            out = json.dumps(body).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                         b"Store-Era: %d\r\nConnection: close\r\n\r\n" % (status, len(out), self.era) + out)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Sender:
    """Sends the bytes of one direction of a flow, go-back-n with 16 packets in flight."""

    def __init__(self, base, send):
        self.base, self.send, self.data, self.acked = base, send, b"", 0
        self.wait, self.due = RETRANSMIT_S, None

    def add(self, data):
        fresh = len(self.data)
        self.data += data
        self.flush(fresh)

    def flush(self, start):
        end = min(len(self.data), self.acked + 16 * MAX_DATA)
        for at in range(start, end, MAX_DATA):
            self.send((self.base + at) & MASK, self.data[at:min(at + MAX_DATA, end)])
        self.due = time.monotonic() + self.wait if self.acked < len(self.data) else None

    def on_ack(self, ack):
        done = (ack - self.base) & MASK
        if self.acked < done <= len(self.data):
            full = self.acked + 16 * MAX_DATA < len(self.data)
            self.acked, self.wait = done, RETRANSMIT_S
            if full:
                self.flush(done)
            else:
                self.due = time.monotonic() + self.wait if self.acked < len(self.data) else None

    def tick(self):
        if self.due and time.monotonic() >= self.due:
            self.wait = min(self.wait * 2, RETRANSMIT_MAX_S)
            self.flush(self.acked)


class Server:
    def __init__(self, world, number, ip, service, zone, work_s=0.015):
        self.world, self.ip, self.service, self.zone, self.work_s = world, ip, service, zone, work_s
        self.id = "i-%08x" % (0x5A000000 + number)
        self.wire_id = 0x5A000000 + number
        self.addr = (ip, world.server_port)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.flows = {}
        self.full = False
        self.state = "ready"
        self.opened = 0

    def spec(self):
        return {"service": self.service, "addr": "%s:%d" % self.addr, "zone": self.zone, "version": "v1",
                "slots": 2, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(lambda: Udp(self.receive), local_addr=self.addr)
        self.tcp = await asyncio.start_server(self.health, *self.addr)
        self.task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            self.world.store.put("servers", self.id, self.spec())
            await asyncio.sleep(HEARTBEAT_S)

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    def reply(self, flow, flags, seq, data=b""):
        pkt = Packet(flow["dst"], flow["dport"], flow["src"], flow["sport"], flags, seq, flow["next"],
                     flow["echo"], data)
        self.udp.sendto(pkt.encode(), (ip_text(flow["src"]), self.world.udp_port))

    def receive(self, raw, addr):
        prefix = struct.unpack(">Q", raw[:8])[0]
        pkt = Packet.decode(raw[8:])
        if prefix not in (0, self.wire_id):
            return
        if not pkt or not pkt.genuine():
            self.world.record.breach("UNASKED: %s got a packet that its sender did not write so" % self.id)
            return
        key = (pkt.src, pkt.sport, pkt.dst, pkt.dport)
        flow = self.flows.get(key)
        if pkt.flags & SYN:
            if flow or not self.full:
                self.take_opening(key, flow, pkt, addr)
            return
        if pkt.flags & RST:
            self.flows.pop(key, None)
            return
        if not flow or (not flow["open"] and pkt.ack != (flow["isn"] + 1) & MASK):
            self.world.record.write("server %s resets a flow that it does not hold: port %d" % (self.id, pkt.sport))
            self.udp.sendto(Packet(pkt.dst, pkt.dport, pkt.src, pkt.sport, RST, pkt.ack, pkt.seq, pkt.echo).encode(),
                            (ip_text(pkt.src), self.world.udp_port))
            return
        flow["open"], flow["echo"] = True, pkt.echo
        flow["out"].on_ack(pkt.ack)
        if pkt.data and pkt.seq == flow["next"]:
            flow["next"] = (flow["next"] + len(pkt.data)) & MASK
            flow["request"] += pkt.data
            self.take_request(flow)
        if pkt.data:
            self.reply(flow, ACK, (flow["isn"] + 1 + len(flow["out"].data)) & MASK)
        if pkt.flags & FIN:
            flow["next"] = (flow["next"] + 1) & MASK
            self.reply(flow, ACK | FIN, (flow["isn"] + 1 + len(flow["out"].data)) & MASK)
            self.flows.pop(key, None)

    def take_opening(self, key, flow, pkt, addr):
        if not flow:
            isn = random.getrandbits(32)
            flow = {"src": pkt.src, "sport": pkt.sport, "dst": pkt.dst, "dport": pkt.dport, "isn": isn,
                    "next": (pkt.seq + 1) & MASK, "echo": pkt.echo, "open": False, "request": b"",
                    "copy": pkt.ack, "via": addr[0]}
            flow["out"] = Sender((isn + 1) & MASK, lambda seq, data, f=flow: self.reply(f, ACK, seq, data))
            self.flows[key] = flow
            self.opened += 1
            self.world.on_opening(self, flow, pkt)
        flow["echo"] = pkt.echo
        self.reply(flow, SYN | ACK, flow["isn"])

    def take_request(self, flow):
        head, sep, rest = flow["request"].partition(b"\r\n\r\n")
        if not sep:
            return
        size = int((re.search(rb"Content-Length: (\d+)", head) or [0, b"0"])[1])
        if len(rest) < size:
            return
        flow["request"] = rest[size:]
        ident = re.search(rb"X-Jujubestage-Request-Id: (\S+)", head)[1].decode()
        self.world.record.write("server %s (%s) runs %s" % (self.id, self.service, ident))
        self.world.on_run(self, flow, ident)
        asyncio.get_running_loop().call_later(self.work_s, self.respond, flow, ident)

    def respond(self, flow, ident):
        body = (ident + ";").encode() * 40
        flow["out"].add(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Jujubestage-Server-Seal: %s\r\n"
                        b"X-Jujubestage-Instance-Id: %s\r\n\r\n" % (len(body), ident.encode(), self.id.encode())
                        + body)

    def tick(self):
        for flow in list(self.flows.values()):
            flow["out"].tick()


class Flow:
    """A client's flow. Requests follow one another on it."""

    def __init__(self, client, dst, dport):
        self.client, self.dst, self.dport = client, dst, dport
        self.sport = client.next_port
        client.next_port += 1
        self.isn = random.getrandbits(32)
        self.echo = 0
        self.state = "opening"
        self.ended = None
        self.buffer = b""
        self.server = None
        self.done = asyncio.Event()
        self.last_ack = 0
        client.flows[self.sport] = self

    def packet(self, flags, seq, ack, data=b""):
        pkt = Packet(self.client.number, self.sport, self.dst, self.dport, flags, seq, ack,
                     0 if flags & SYN else self.echo, data)
        daemon = self.client.world.route(self)
        self.client.udp.sendto(pkt.encode(), (daemon.ip, self.client.world.udp_port))

    async def open(self):
        began = time.monotonic()
        for copy, at in enumerate((0,) + COPIES_S + (OPEN_S,)):
            try:
                await asyncio.wait_for(self.done.wait(), max(began + at - time.monotonic(), 0.0001))
                break
            except asyncio.TimeoutError:
                if at < OPEN_S:
                    self.packet(SYN, self.isn, copy)
        if self.state == "opening":
            self.end("no answer to the opening")
        return self.state == "open"

    def end(self, why):
        self.state, self.ended = "closed", why
        self.client.flows.pop(self.sport, None)
        self.done.set()

    def receive(self, pkt, world):
        if pkt.flags & RST:
            own = pkt.total == 0
            near = min((pkt.seq - self.last_ack) & MASK, (self.last_ack - pkt.seq) & MASK) <= RESET_WINDOW
            if self.state == "open" and (near or not own):
                world.on_reset(self, pkt, own)
                self.end("reset by the system" if own else "reset by a server")
            elif self.state == "opening":
                self.end("refused")
            return
        if not pkt.genuine():
            world.record.breach("MIXED: a client got a packet that its sender did not write so")
            return
        if pkt.flags & SYN and self.state == "opening" and pkt.ack == (self.isn + 1) & MASK:
            self.echo = pkt.echo
            self.next = self.last_ack = (pkt.seq + 1) & MASK
            self.out = Sender((self.isn + 1) & MASK, lambda seq, data: self.packet(ACK, seq, self.next, data))
            self.state = "open"
            self.packet(ACK, (self.isn + 1) & MASK, self.next)
            self.done.set()
            return
        if self.state != "open" or pkt.flags & SYN:
            return
        self.echo = pkt.echo
        self.out.on_ack(pkt.ack)
        if pkt.data:
            if pkt.seq == self.next:
                self.next = self.last_ack = (self.next + len(pkt.data)) & MASK
                self.buffer += pkt.data
            self.packet(ACK, (self.isn + 1 + len(self.out.data)) & MASK, self.next)
            self.take_answer()
        if pkt.flags & FIN:
            self.end("closed by the server")

    def take_answer(self):
        head, sep, rest = self.buffer.partition(b"\r\n\r\n")
        size = re.search(rb"Content-Length: (\d+)", head)
        if not sep or not size or len(rest) < int(size[1]):
            return
        self.answer = (head, rest[:int(size[1])])
        self.buffer = rest[int(size[1]):]
        self.server = re.search(rb"Instance-Id: (\S+)", head)[1].decode()
        self.done.set()

    async def request(self, ident, method="GET", deadline_s=1.0):
        self.done.clear()
        self.answer = None
        body = b"x" * 900 if method == "POST" else b""
        self.out.add(b"%s / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nX-Jujubestage-Request-Id: %s\r\n\r\n"
                     % (method.encode(), len(body), ident.encode()) + body)
        try:
            await asyncio.wait_for(self.done.wait(), deadline_s)
        except asyncio.TimeoutError:
            return "deadline"
        if not self.answer:
            return self.ended
        if b" 200 " not in self.answer[0][:16]:
            return self.answer[0][9:12].decode()
        if ident.encode() + b";" not in self.answer[1]:
            self.client.world.record.breach("MIXED: %s got a foreign answer" % ident)
        return "200"

    def close(self):
        if self.state == "open":
            self.packet(FIN | ACK, (self.isn + 1 + len(self.out.data)) & MASK, self.next)
        if self.state != "closed":
            self.end("closed")


class Client:
    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone, self.number = world, ip, zone, ip_number(ip)
        self.next_port = 20000
        self.flows = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(lambda: Udp(self.receive),
                                                          local_addr=(self.ip, self.world.udp_port))

    def receive(self, raw, addr):
        pkt = Packet.decode(raw)
        flow = pkt and self.flows.get(pkt.dport)
        if flow:
            flow.last_sender = addr[0]
            flow.receive(pkt, self.world)

    def tick(self):
        for flow in list(self.flows.values()):
            if flow.state == "open":
                flow.out.tick()


class Daemon:
    """An instance: a process of its own, started with the command of the deploy file."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.in_rotation, self.misses, self.process = False, 2, None

    def fields(self):
        w = self.world
        return {"node": self.name, "zone": self.zone, "ip": self.ip, "region": "r1", "class": "front",
                "internal_ports": [w.internal_port, w.internal_port + 15],
                "seeds": ["%s:%d" % (d.ip, w.control_port) for d in w.daemons[:3]],
                "listen": {"udp_addr": "%s:%d" % (self.ip, w.udp_port),
                           "ready": "%s:%d" % (self.ip, w.ready_port),
                           "control": "%s:%d" % (self.ip, w.control_port)},
                "limits": {"memory_mb": 260}, "bounds": {"grace_s": 6},
                "platform": {"addr": "%s:%d" % (w.store_of(self))}}

    def render(self, text):
        def value(match):
            name, _, form = match[1].partition("|")
            at = self.fields()
            for part in name.split("."):
                at = at[int(part)] if isinstance(at, list) else at[part]
            if form == "json":
                return json.dumps(at)
            return ",".join(map(str, at)) if isinstance(at, list) else str(at)
        return re.sub(r"\{\{([^}]+)\}\}", value, text)

    def start(self):
        with open(os.path.join(REPO, "platform/settings.json")) as template:
            text = self.render(template.read())
        path = os.path.join(self.world.folder, self.name + ".settings")
        with open(path, "w") as out:
            out.write(text)
        command = self.world.command
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["JUJUBESTAGE_NODE_FILE"] = path
        with open(os.path.join(self.world.folder, self.name + ".log"), "a") as log:
            self.process = subprocess.Popen(command, cwd=REPO, env=env, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)

    async def poll(self):
        while True:
            began = time.monotonic()
            good = False
            try:
                good = await asyncio.wait_for(self.ask(), READY_POLL_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            self.misses = 0 if good else self.misses + 1
            self.in_rotation = self.misses < 2
            await asyncio.sleep(max(began + READY_POLL_S - time.monotonic(), 0))

    async def ask(self):
        reader, writer = await asyncio.open_connection(self.ip, self.world.ready_port)
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return b" 200" in await reader.readline()
        finally:
            writer.close()


class World:
    """The whole deployment. Cases override on_opening(), on_run() and on_reset()."""

    def __init__(self, folder_of_case, zones, daemons_per_zone, servers, clients_per_zone):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="jujubestage-review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        net = random.randrange(8, 200)
        base = 20000 + random.randrange(0, 1500) * 8
        self.udp_port, self.ready_port, self.control_port, self.server_port = base, base + 1, base + 2, base + 3
        self.store_port, self.internal_port = base + 4, base + 5
        with open(os.path.join(REPO, "deploy/system.toml")) as deploy:
            self.command = re.search(r'^run = "([^"]+)"', deploy.read(), re.M)[1].split(" ")
        self.zones = zones
        self.store = Store(self, ("127.%d.4.1" % net, self.store_port))
        self.daemons = [Daemon(self, "front-%s-%d" % (z, n + 1), "127.%d.1.%d" % (net, 10 * i + n + 1), z)
                        for i, z in enumerate(zones) for n in range(daemons_per_zone)]
        self.servers = [Server(self, n + 1, "127.%d.2.%d" % (net, n + 1), service, zone)
                        for n, (service, zone) in enumerate(servers)]
        self.clients = [Client(self, "127.%d.3.%d" % (net, 40 * i + n + 1), z)
                        for i, z in enumerate(zones) for n in range(clients_per_zone)]
        self.ids = 0

    def store_of(self, daemon):
        return self.store.addr

    def route(self, flow):
        """Rendezvous hash over the daemons of the client's zone that are in rotation."""
        own = [d for d in self.daemons if d.zone == flow.client.zone]
        ready = [d for d in own if d.in_rotation]
        if 2 * len(ready) < len(own):
            ready = own
        key = "%d.%d.%d.%d." % (flow.client.number, flow.sport, flow.dst, flow.dport)
        return max(ready, key=lambda d: hashlib.md5((key + d.name).encode()).digest())

    def configure(self, version, routes, idle_timeout_ms=15000, timeout_ms=1000, slo_ms=200):
        """routes: (name, address, port, type, service)."""
        services = sorted({r[4] for r in routes})
        spec = {"version": version,
                "routes": [{"name": r[0], "hostname": r[1], "path_prefix": "/%d/" % r[2], "type": r[3],
                            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "service": r[4],
                            "max_attempts": 2} for r in routes],
                "services": [{"name": s, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1",
                              "tls": False, "cold_start_s": 2.0, "cold_per_s": 0.0} for s in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": idle_timeout_ms}}
        self.store.put("config", "main", spec)
        self.record.write("store acknowledges configuration %d" % version)

    def new_id(self, kind):
        self.ids += 1
        return "%s-%06d" % (kind, self.ids)

    def on_opening(self, server, flow, pkt):
        pass

    def on_run(self, server, flow, ident):
        pass

    def on_reset(self, flow, pkt, own):
        pass

    async def ticks(self):
        while True:
            for each in self.servers + self.clients:
                each.tick()
            await asyncio.sleep(0.02)

    async def start(self):
        await self.store.start()
        for each in self.servers + self.clients:
            await each.start()
        for daemon in self.daemons:
            daemon.start()
        self.tasks = [asyncio.create_task(d.poll()) for d in self.daemons] + [asyncio.create_task(self.ticks())]
        end = time.monotonic() + 15
        while not all(d.in_rotation for d in self.daemons):
            if time.monotonic() > end or any(d.process.poll() is not None for d in self.daemons):
                raise RuntimeError("an instance is not ready; logs in " + self.folder)
            await asyncio.sleep(0.1)

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()


def play(world, story, rule):
    """Runs the story and exits: with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    code = run_story(world, story, rule)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # connections of the stand-ins may still be open


def give_up(world):
    """Ends a case that hangs, with all that it started."""
    world.stop()
    os._exit(2)


def run_story(world, story, rule):
    async def run():
        await world.start()
        await asyncio.wait_for(story(), 90)

    watchdog = threading.Timer(LIFE_S, give_up, [world])
    watchdog.daemon = True
    watchdog.start()
    try:
        # Not asyncio.run(): its clean-up waits for tasks, and a cancellation can be lost.
        asyncio.new_event_loop().run_until_complete(run())
    except Exception as err:  # the case could not run
        world.record.write("could not run: %r" % err)
        print("could not run: %r" % err)
        return 2
    finally:
        world.stop()
    shutil.rmtree(world.folder, ignore_errors=True)
    broken = [b for b in world.record.broken if b.startswith(rule)]
    others = [b for b in world.record.broken if not b.startswith(rule)]
    text = "%s broken %d times, other rules %d times, TROUBLE=%d" % (rule, len(broken), len(others), world.trouble)
    world.record.write(text)
    print(text)
    return 1 if broken else 0
