"""Stand-ins of the platform for the review's scripts: store, servers, clients, routers.

They follow ../given/kit/more/system/PROTOCOL.md and DEPLOY.md. The instances are the project's own
binary, built and started with the lines of deploy/system.toml. All addresses are loopback addresses,
all time is the real clock. Nothing here reads or changes the instances' memory or files.
"""
import asyncio
import copy
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
import time
import zlib

SYN, ACK, FIN, RST = 64, 16, 8, 128
HEAD = struct.Struct("<IIIIBHIIHH")  # seq ack sum echo flags sport dst src dport len
COPIES_S = (0.2, 0.6)
OPEN_S = 1.4
RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6
RESET_WINDOW = 76800
IDLE_TIMEOUT_MS = 15000
MASK = 0xffffffff


def ip_num(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


class Packet:
    def __init__(self, src, dst, flags, seq, ack, echo=0, data=b""):
        self.src, self.dst = src, dst  # (ip, port) of the two ends
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.sum = 0

    def encode(self):
        args = [self.seq, self.ack, 0, 0, self.flags, self.src[1], ip_num(self.dst[0]),
                ip_num(self.src[0]), self.dst[1], len(self.data)]
        args[2] = zlib.crc32(b"not disclosed" + HEAD.pack(*args) + self.data) | 1
        args[3] = self.echo
        return HEAD.pack(*args) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, total, echo, flags, sport, dst, src, dport, length = HEAD.unpack(raw[:HEAD.size])
        if length != len(raw) - HEAD.size:
            return None
        text = lambda n: socket.inet_ntoa(struct.pack(">I", n))
        pkt = Packet((text(src), sport), (text(dst), dport), flags, seq, ack, echo, raw[HEAD.size:])
        pkt.sum = total
        pkt.true_sum = total == struct.unpack_from("<I", pkt.encode(), 8)[0]
        return pkt


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write("%8.3f s  %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


class Store:
    """The metadata store. Reads with stale_ok are answered as of stale_s seconds ago."""

    def __init__(self, world, ip, port):
        self.world, self.ip, self.port = world, ip, port
        self.rev = 100
        self.objects = {}
        self.log = []  # (time, rev, kind, object or None, name)
        self.stale_s = 0.0
        self.changed = asyncio.Event()
        self.silent = set()  # addresses of the store that are cut off
        self.listeners = []

    async def start(self):
        await self.listen(self.ip)

    async def listen(self, ip):
        """One more address of the store, so that the machines that use it can be cut off."""
        self.listeners.append(await asyncio.start_server(self.serve, ip, self.port))

    def put(self, kind, name, spec, note=True):
        """A write of the operator or of a server. Returns when it is acknowledged: now."""
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.rev += 1
        obj = {"meta": {"name": name, "rev": self.rev, "created": 1, "finalizers": [],
                        "deleting": False}, "spec": spec, "status": None}
        self.commit(kind, name, obj)
        if note:
            self.world.record.add("store acknowledges %s/%s, revision %d: %s" %
                                  (kind, name, self.rev, json.dumps(spec)[:200]))
        return obj

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.rev += 1
            self.commit(kind, name, None)
            self.world.record.add("store removes %s/%s, revision %d" % (kind, name, self.rev))

    def commit(self, kind, name, obj):
        last = self.objects.get((kind, name))
        if obj:
            self.objects[kind, name] = obj
        else:
            del self.objects[kind, name]
        self.log.append((time.monotonic(), self.rev, kind, copy.deepcopy(obj or last), not obj))
        self.changed.set()
        self.changed = asyncio.Event()

    def view(self, kind, stale):
        """The objects of a kind, and the revision, as a read sees them."""
        until = time.monotonic() - (self.stale_s if stale else 0)
        objects, rev = {}, 100
        for when, at, knd, obj, gone in self.log:
            if when > until:
                break
            rev = at
            if knd == kind:
                objects[obj["meta"]["name"]] = None if gone else obj
        return [objects[n] for n in sorted(objects) if objects[n]], rev

    def events(self, kind, stale, after):
        until = time.monotonic() - (self.stale_s if stale else 0)
        found = [(at, obj, gone) for when, at, knd, obj, gone in self.log
                 if knd == kind and at > after and when <= until]
        seen = max([at for when, at, _, _, _ in self.log if when <= until], default=100)
        return [{"object": obj, "deleted": gone} for _, obj, gone in found], max(seen, after)

    async def get(self, kind, query):
        stale = query.get("stale_ok") == "1"
        if "watch" not in query:
            items, rev = self.view(kind, stale)
            after = query.get("after", "")
            items = [o for o in items if o["meta"]["name"] > after]
            return 200, {"items": items[:500], "more": len(items) > 500, "as_of": rev}
        after = int(query["watch"])
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            events, rev = self.events(kind, stale, after)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": rev}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.02 if self.stale_s else 1))
            except asyncio.TimeoutError:
                pass

    async def call(self, method, path, body):
        path, _, text = path.partition("?")
        query = dict(p.partition("=")[::2] for p in text.split("&") if p)
        words = path.strip("/").split("/")
        await asyncio.sleep(0.004)
        if len(words) < 2 or words[0] != "objects":
            return 404, {}
        kind, name = words[1], words[2] if len(words) > 2 else None
        if method == "GET" and not name:
            return await self.get(kind, query)
        old = self.objects.get((kind, name)) if name else None
        if method == "GET":
            return (200, old) if old else (404, {})
        sent = json.loads(body) if body else {}
        name = name or sent.get("meta", {}).get("name")
        old = self.objects.get((kind, name))
        rev = sent.get("meta", {}).get("rev")
        if method == "POST":
            if old:
                return 409, old
            return 201, self.put(kind, name, sent.get("spec"))
        if not old:
            return 404, {}
        if rev is not None and rev != old["meta"]["rev"]:
            return 409, old
        if method == "PUT":
            return 200, self.put(kind, name, sent.get("spec"))
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 405, {}

    async def serve(self, reader, writer):
        address = writer.get_extra_info("sockname")[0]
        try:
            while True:
                line = (await reader.readline()).decode("latin-1").split()
                if len(line) < 2:
                    break
                length = 0
                while True:
                    head = (await reader.readline()).decode("latin-1").strip()
                    if not head:
                        break
                    if head.lower().startswith("content-length:"):
                        length = int(head.split(":")[1])
                body = await reader.readexactly(length) if length else b""
                cut = address in self.silent
                if not cut:
                    status, answer = await self.call(line[0], line[1], body)
                if cut or address in self.silent:
                    await reader.read()  # nothing returns on this connection
                    break
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Server(asyncio.DatagramProtocol):
    """A server of a service. Takes flows, runs requests, answers the client directly."""

    def __init__(self, world, nr, service, zone):
        self.world, self.service, self.zone = world, service, zone
        self.id = "i-%010x" % (0xabc0000000 + nr)
        self.number = 0xabc0000000 + nr
        self.addr = (world.ip(3, nr), world.port + 3)
        self.born = int(time.time() * 1000)
        self.state, self.alive = "ready", True
        self.drained_at = None
        self.flows = {}
        self.resets = []  # (time, client end)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.addr)
        self.tcp = await asyncio.start_server(self.health, *self.addr)
        self.publish()

    def publish(self):
        self.world.store.put("servers", self.id, {
            "service": self.service, "addr": "%s:%d" % self.addr, "zone": self.zone,
            "version": "v1", "slots": 2, "state": self.state, "cold_left_ms": 0, "seq": 1,
            "born": self.born})

    def drain(self):
        self.state, self.drained_at = "draining", time.monotonic()
        self.publish()

    def stop(self):
        """Leaves after a planned shutdown."""
        self.alive = False
        self.udp.close()
        self.tcp.close()
        self.world.record.add("server %s ends" % self.id)
        self.world.store.remove("servers", self.id)

    async def health(self, reader, writer):
        try:
            while (await reader.readline()).strip():
                pass
            ok = self.state == "ready"
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % (200 if ok else 503))
            await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def send(self, pkt):
        if not self.udp.is_closing():
            self.udp.sendto(pkt.encode(), (pkt.dst[0], self.world.port))

    def datagram_received(self, raw, _):
        number, pkt = struct.unpack(">Q", raw[:8])[0], Packet.decode(raw[8:])
        if not pkt or number not in (0, self.number) or not pkt.true_sum:
            return
        key = (pkt.src, pkt.dst)
        flow = self.flows.get(key)
        if pkt.flags & SYN:
            if not flow or flow["isn"] != pkt.seq:
                self.world.opening_arrived(self, pkt)
                flow = self.flows[key] = {"isn": pkt.seq, "seq": random.getrandbits(31),
                                          "next": pkt.seq + 1 & MASK, "open": False,
                                          "text": b"", "end": False, "last": None}
            flow["echo"] = pkt.echo
            self.send(Packet(pkt.dst, pkt.src, SYN | ACK, flow["seq"], flow["next"], pkt.echo))
            return
        if not flow or flow["end"] and pkt.data:
            if not pkt.flags & RST:
                self.resets.append((time.monotonic(), key))
                self.world.record.add("server %s holds no flow %s and sends a reset" %
                                      (self.id, flow_text(key)))
                self.send(Packet(pkt.dst, pkt.src, RST, pkt.ack, 0, pkt.echo))
            return
        if not flow["open"]:
            if pkt.ack != flow["seq"] + 1 & MASK:
                return
            flow["open"], flow["seq"] = True, pkt.ack
            self.world.flow_opened(self, key)
        flow["echo"] = pkt.echo
        if pkt.flags & RST:
            del self.flows[key]
            return
        self.take(key, flow, pkt)

    def take(self, key, flow, pkt):
        client, service = key
        if pkt.data and pkt.seq == flow["next"]:
            flow["next"] = flow["next"] + len(pkt.data) & MASK
            flow["text"] += pkt.data
            if flow["text"].endswith(b"\r\n\r\n"):
                self.run(key, flow)
                return
        elif pkt.data and flow["last"]:
            self.send(flow["last"])  # the answer was lost
            return
        if pkt.flags & FIN:
            flow["next"] = pkt.seq + len(pkt.data) + 1 & MASK
            flow["end"] = True
        if pkt.data or pkt.flags & FIN:
            self.send(Packet(service, client, ACK, flow["seq"], flow["next"], flow["echo"]))

    def run(self, key, flow):
        client, service = key
        name = re.search(rb"Request-Id: (\S+)", flow["text"]).group(1).decode()
        flow["text"] = b""
        self.world.request_ran(self, name)
        close = self.state == "draining"
        body = (name + ":" + "x" * 600).encode()
        text = ("HTTP/1.1 200 OK\r\nX-Jujubestage-Server-Seal: %s\r\nContent-Length: %d\r\n"
                "%s\r\n" % (self.id, len(body), "Connection: close\r\n" if close else "")).encode()
        pkt = Packet(service, client, ACK | (FIN if close else 0), flow["seq"], flow["next"],
                     flow["echo"], text + body)
        flow["seq"] = flow["seq"] + len(pkt.data) + close & MASK
        flow["end"], flow["last"] = close, pkt
        self.send(pkt)


def flow_text(key):
    return "%s:%d>%s:%d" % (key[0] + key[1])


class Client(asyncio.DatagramProtocol):
    """Keeps one flow open to a service address and sends requests on it, with pauses."""

    def __init__(self, world, nr, service_addr):
        self.world, self.nr, self.service = world, nr, service_addr
        self.ip, self.next_port = world.ip(4, nr), 40001
        self.keep_port = False  # use the port of a closed flow again
        self.flow, self.serial = None, 0
        self.waiter = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.port))

    def send(self, flags, data=b"", seq=None):
        flow = self.flow
        pkt = Packet((self.ip, flow["port"]), self.service, flags,
                     flow["seq"] if seq is None else seq, flow["ack"], flow["echo"], data)
        inst = self.world.route(pkt)
        if inst:
            self.udp.sendto(pkt.encode(), (inst.ip, self.world.port))
        return inst

    def wake(self, why):
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(why)

    async def wait(self, seconds):
        """Waits for a change of the flow; returns None at the end of the time."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self.waiter, max(seconds, 0.001))
        except asyncio.TimeoutError:
            return None

    async def open(self):
        """Opens a flow. Returns whether it is open."""
        if not (self.keep_port and self.flow):
            self.next_port += 1
        seq = random.getrandbits(31)
        began = time.monotonic()
        self.refused_by = None
        self.flow = {"port": self.next_port, "isn": seq, "seq": seq, "ack": 0, "echo": 0,
                     "state": "opening", "got": b"", "opened": began}
        inst = self.send(SYN)
        self.world.record.add("client %d opens %s through %s" % (
            self.nr, flow_text(self.key()), inst.name if inst else "nobody"))
        for until in COPIES_S + (OPEN_S,):
            while time.monotonic() < began + until and self.flow["state"] == "opening":
                await self.wait(began + until - time.monotonic())
            if self.flow["state"] != "opening":
                break
            if until != OPEN_S:
                self.flow["ack"] += 1  # counts the copies
                self.send(SYN)
        if self.flow["state"] != "open":
            self.flow["state"] = "closed"
        return self.flow["state"] == "open"

    def key(self):
        return ((self.ip, self.flow["port"]), self.service)

    def is_open(self):
        return self.flow is not None and self.flow["state"] == "open"

    async def ask(self, deadline_s):
        """One request, on the open flow or on a new one, one attempt. Returns how it ended."""
        self.serial += 1
        name = "c%d-%d" % (self.nr, self.serial)
        began = time.monotonic()
        if not self.is_open() and not await self.open():
            self.world.record.add("request %s: no flow" % name)
            return "no flow"
        flow = self.flow
        data = ("GET /x HTTP/1.1\r\nHost: x\r\nX-Jujubestage-Request-Id: %s\r\n\r\n" % name).encode()
        seq, pause = flow["seq"], RETRANSMIT_S
        flow["seq"] = seq + len(data) & MASK
        flow["got"], result = b"", None
        inst = self.send(ACK, data, seq)
        self.world.record.add("request %s sent on %s through %s" % (
            name, flow_text(self.key()), inst.name if inst else "nobody"))
        due = began + pause
        while not result and time.monotonic() < began + deadline_s:
            why = await self.wait(min(due, began + deadline_s) - time.monotonic())
            if flow["state"] == "reset":
                result = "reset"
            elif self.whole(flow["got"]):
                result = "200" if self.body(flow["got"]).startswith(name + ":") else "foreign answer"
            elif why is None and time.monotonic() >= due:
                pause = min(pause * 2, RETRANSMIT_MAX_S)
                due = time.monotonic() + pause
                self.send(ACK, data, seq)
        result = result or "no answer"
        self.world.record.add("request %s ends: %s" % (name, result))
        self.world.request_ended(self, name, result)
        if result == "no answer":
            flow["state"] = "closed"
        return result

    @staticmethod
    def whole(text):
        head, found, body = text.partition(b"\r\n\r\n")
        return found and len(body) >= int(re.search(rb"Content-Length: (\d+)", head).group(1))

    @staticmethod
    def body(text):
        return text.partition(b"\r\n\r\n")[2].decode()

    def datagram_received(self, raw, sender):
        pkt, flow = Packet.decode(raw), self.flow
        if not pkt or not flow or pkt.dst != (self.ip, flow["port"]) or pkt.src != self.service:
            return
        if flow["state"] not in ("opening", "open"):
            return
        if pkt.flags & RST:
            self.take_reset(pkt, sender)
            return
        if pkt.flags & SYN:
            if flow["state"] == "opening" and pkt.ack == flow["isn"] + 1 & MASK:
                flow.update(state="open", seq=pkt.ack, ack=pkt.seq + 1 & MASK, echo=pkt.echo,
                            opened=time.monotonic())
                self.send(ACK)
                self.wake("open")
            return
        flow["echo"] = pkt.echo
        if pkt.data and pkt.seq == flow["ack"]:
            flow["got"] += pkt.data
            flow["ack"] = flow["ack"] + len(pkt.data) & MASK
        closing = pkt.flags & FIN and pkt.seq + len(pkt.data) & MASK == flow["ack"]
        if closing:
            flow["ack"] = flow["ack"] + 1 & MASK
        if pkt.data or closing:
            self.send(ACK | (FIN if closing else 0))
        if closing:
            flow["state"] = "closed"
            self.world.record.add("flow %s closed by both ends" % flow_text(self.key()))
        self.wake("data")

    def take_reset(self, pkt, sender):
        flow = self.flow
        by = "an instance" if pkt.sum == 0 else "a server"
        off = min(pkt.seq - flow["ack"] & MASK, flow["ack"] - pkt.seq & MASK)
        if pkt.sum == 0 and flow["state"] == "open" and off > RESET_WINDOW:
            return
        self.world.record.add("client %d gets a reset of %s from %s (%s)" % (
            self.nr, flow_text(self.key()), by, self.world.name_of(sender)))
        if flow["state"] == "open":
            self.world.flow_reset(self, self.key(), sender)
        elif pkt.sum == 0:
            self.refused_by = self.world.name_of(sender)
        flow["state"] = "reset"
        self.wake("reset")


class Instance:
    def __init__(self, world, nr, zone):
        self.world, self.nr, self.zone = world, nr, zone
        self.name = "front-%s-%d" % (zone, nr)
        self.ip = world.ip(2, nr)
        self.proc, self.in_rotation, self.misses, self.ready = None, False, 0, False
        self.path = os.path.join(world.dir, self.name + ".json")

    def fields(self):
        port = self.world.port
        return {"node": self.name, "zone": self.zone, "ip": self.ip,
                "listen.udp_addr": "%s:%d" % (self.ip, port),
                "listen.ready": "%s:%d" % (self.ip, port + 1),
                "listen.control": "%s:%d" % (self.ip, port + 4),
                "internal_ports.0": port + 2, "seeds": ",".join(self.world.seeds()),
                "platform.addr": "%s:%d" % self.world.store_addr(self),
                "limits.memory_mb": 260, "bounds.grace_s": 6}

    def start(self):
        """Fills in the template of the deploy file and starts its run line."""
        deploy = open("deploy/system.toml").read()
        role = lambda key: re.search(r'^%s = "([^"]*)"' % key, deploy, re.M).group(1)
        fields = self.fields()

        def fill(match):
            name, _, how = match.group(1).partition("|")
            return json.dumps(fields[name]) if how == "json" else str(fields[name])
        with open(self.path, "w") as out:
            out.write(re.sub(r"\{\{([^}]*)\}\}", fill, open(role("template")).read()))
        env = {"PATH": os.environ["PATH"], "HOME": self.world.dir, "LANG": "C",
               "JUJUBESTAGE_NODE_FILE": self.path}
        self.log = open(os.path.join(self.world.dir, self.name + ".log"), "ab")
        self.proc = subprocess.Popen(role("run").split(), env=env, stdout=self.log,
                                     stderr=self.log, stdin=subprocess.DEVNULL)
        self.world.record.add("%s starts" % self.name)

    def send_signal(self, sig):
        self.world.record.add("%s gets %s" % (self.name, signal.Signals(sig).name))
        self.proc.send_signal(sig)

    async def watch_ready(self):
        """The routers' questions: out after two misses, back at a 200."""
        while True:
            began = time.monotonic()
            ok = False
            if self.proc:
                try:
                    ok = await asyncio.wait_for(self.ask_ready(), 0.4)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            self.misses = 0 if ok else self.misses + 1
            was = self.in_rotation
            self.in_rotation = ok or was and self.misses < 2
            if was != self.in_rotation:
                self.world.record.add("%s is %s rotation" % (self.name,
                                                             "in" if self.in_rotation else "out of"))
            await asyncio.sleep(max(0.01, began + 0.5 - time.monotonic()))

    async def ask_ready(self):
        reader, writer = await asyncio.open_connection(self.ip, self.world.port + 1)
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).split()[1:2] == [b"200"]
        finally:
            writer.close()


class World:
    """One play of a case."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.net = 8 + os.getpid() % 200
        self.port = self.free_port()
        self.instances, self.servers, self.clients, self.tasks = [], [], [], []
        self.opened = {}  # flow key to (server, time)
        self.broken = []

    def ip(self, part, nr):
        return "127.%d.%d.%d" % (self.net, part, nr)

    def free_port(self):
        """A port with the four after it free on this play's addresses."""
        for _ in range(200):
            port = random.randrange(20000, 30000, 8)
            try:
                for i in range(5):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((self.ip(1, 1), port + i))
                return port
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def seeds(self):
        return ["%s:%d" % (inst.ip, self.port + 4) for inst in self.instances[:3]]

    def store_addr(self, inst):
        return (self.store.ip, self.store.port)

    def config(self, version, routes):
        """Writes config/main; @routes: list of (address, port, service)."""
        names = sorted({name for _, _, name in routes})
        self.store.put("config", "main", {
            "version": version,
            "routes": [{"name": "r%d" % port, "hostname": ip, "path_prefix": "/%d/" % port,
                        "type": "idempotent", "timeout_ms": 3000, "slo_ms": 500, "priority": 2,
                        "service": name, "max_attempts": 2} for ip, port, name in routes],
            "services": [{"name": n, "health_path": "/healthz", "max_conns": 2000,
                          "protocol": "h1", "tls": False, "cold_start_s": 2.0, "cold_per_s": 0.0}
                         for n in names],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": IDLE_TIMEOUT_MS}})

    async def start_store(self):
        self.store = Store(self, self.ip(1, 1), self.port)
        await self.store.start()

    async def add_server(self, service, zone):
        server = Server(self, len(self.servers) + 1, service, zone)
        self.servers.append(server)
        await server.start()
        return server

    def add_instance(self, zone):
        inst = Instance(self, len(self.instances) + 1, zone)
        self.instances.append(inst)
        return inst

    def start_instance(self, inst):
        inst.start()
        self.tasks.append(asyncio.create_task(inst.watch_ready()))

    async def add_client(self, service_addr):
        client = Client(self, len(self.clients) + 1, service_addr)
        self.clients.append(client)
        await client.start()
        return client

    def route(self, pkt):
        """"steady": only the flows of a daemon that joins or leaves move."""
        def score(inst):
            return hashlib.sha256(("%s %s %s" % (pkt.src, pkt.dst, inst.name)).encode()).digest()
        return max((i for i in self.instances if i.in_rotation), key=score, default=None)

    async def until_ready(self, insts, seconds=10):
        end = time.monotonic() + seconds
        while not all(i.in_rotation for i in insts):
            if time.monotonic() > end:
                raise RuntimeError("instances are not ready")
            await asyncio.sleep(0.05)

    def name_of(self, sender):
        for inst in self.instances:
            if inst.ip == sender[0]:
                return inst.name
        for server in self.servers:
            if server.addr[0] == sender[0]:
                return server.id
        return "%s:%d" % sender[:2]

    # What the stand-ins report; cases override what they judge.
    def opening_arrived(self, server, pkt):
        self.record.add("opening of %s:%d arrives at server %s" % (pkt.src + (server.id,)))

    def flow_opened(self, server, key):
        self.opened[key] = (server, time.monotonic())
        self.record.add("flow %s opens at server %s" % (flow_text(key), server.id))

    def request_ran(self, server, name):
        self.record.add("server %s runs request %s" % (server.id, name))

    def request_ended(self, client, name, result):
        pass

    def flow_reset(self, client, key, sender):
        pass

    def breach(self, text):
        self.broken.append(text)
        self.record.add("BROKEN " + text)

    async def whole(self, trouble):
        try:
            await self.play(trouble)
        finally:
            self.end_processes()
            await asyncio.sleep(0.2)  # their connections end

    def end_processes(self):
        for task in self.tasks:
            task.cancel()
        for inst in self.instances:
            if inst.proc:
                inst.proc.send_signal(signal.SIGCONT)
                inst.proc.kill()
                inst.proc.wait()
                inst.proc = None

    def close(self):
        self.end_processes()
        self.record.close()

    def remove_logs(self):
        if os.environ.get("KEEP") == "1":
            print("logs of the instances: " + self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def end_on_signal(number, _):
    raise SystemExit("ended by signal %d" % number)


def main(case, folder):
    """Plays a case: 0 the rule held, 1 it was broken, 2 the case could not run.

    The logs of the instances are removed at the end unless KEEP=1 is set.
    """
    os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
    if not os.access("target/jujubestage", os.X_OK):
        print("target/jujubestage is missing: run the build line of deploy/system.toml")
        return 2
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, end_on_signal)
    world = None
    try:
        world = case.Case(folder)
        asyncio.run(world.whole(trouble))
    except Exception as err:
        print("could not run: %r" % err)
        return 2
    finally:
        if world:
            world.close()
            world.remove_logs()
    for text in world.broken[:5]:
        print(text)
    print("%s the disruption: %s" % ("with" if trouble else "without", "broken %d times" %
                                     len(world.broken) if world.broken else "held"))
    return 1 if world.broken else 0
