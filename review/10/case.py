"""The store's answers to calls with stale_ok are some seconds old; see claim.txt."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from world import Flow, Store, World, ip_number, play  # noqa: E402

ZONES = ["z-a", "z-b"]
SERVICE_IP = "198.18.0.1"
PORT = 8080
DRAIN_S = 3.0
CALM_S = 7.0
AFTER_S = 7.0
OLD_S = 4.0  # how old stale answers are; fleetbench kinds names 3 s, the site file 5.5 s


class OldReads(Store):
    """Answers calls with stale_ok by what the store held OLD_S ago, all others by what it holds."""

    def __init__(self, world, addr):
        super().__init__(world, addr)
        self.times = []

    def tell(self, kind, obj, deleted):
        self.times.append((time.monotonic(), self.rev))
        super().tell(kind, obj, deleted)

    def old_rev(self):
        before = time.monotonic() - (OLD_S if self.world.trouble else 0)
        return max([rev for at, rev in self.times if at <= before] or [100])

    async def answer(self, method, path, query, body):
        if method != "GET" or "stale_ok" not in query:
            return await super().answer(method, path, query, body)
        kind = path.split("/")[2]
        if "watch" in query:
            return await self.old_watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        rev = self.old_rev()
        held = {}
        for its_rev, its_kind, obj, deleted in self.history:
            if its_kind == kind and its_rev <= rev:
                held[obj["meta"]["name"]] = None if deleted else obj
        names = sorted(n for n, obj in held.items() if obj and n > query.get("after", ""))
        return 200, {"items": [held[n] for n in names[:50]], "more": len(names) > 50, "as_of": rev}

    async def old_watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            rev = self.old_rev()
            found = [e for e in self.events(kind, since) if e["object"]["meta"]["rev"] <= rev]
            if found or time.monotonic() >= end:
                return 200, {"events": found, "as_of": max(rev, since)}
            await asyncio.sleep(0.01)


class Case(World):
    def __init__(self):
        super().__init__(HERE, ZONES, 3, [("readings", z) for z in ZONES for _ in range(3)], 8)
        self.store = OldReads(self, self.store.addr)
        self.leaving = {}

    def on_opening(self, server, flow, pkt):
        left = self.leaving.get(server.id)
        if left and time.monotonic() > left + DRAIN_S:
            self.record.breach("DRAIN: an opening reached %s %d ms after the store had acknowledged that the server is "
                               "draining" % (server.id, (time.monotonic() - left) * 1000))

    async def visitor(self, client, end):
        """Opens a flow for each request."""
        while time.monotonic() < end:
            ident = self.new_id("read")
            flow = Flow(client, ip_number(SERVICE_IP), PORT)
            result = await flow.request(ident, "GET", 1) if await flow.open() else flow.ended
            self.record.write("client %s: %s on port %d ended with %s" % (client.ip, ident, flow.sport, result))
            flow.close()
            await asyncio.sleep(0.03)

    async def story(self):
        end = time.monotonic() + CALM_S + AFTER_S
        visitors = [asyncio.create_task(self.visitor(c, end)) for c in self.clients]
        await asyncio.sleep(CALM_S)
        server = self.servers[0]
        server.state = "draining"
        self.store.put("servers", server.id, server.spec())
        self.leaving[server.id] = time.monotonic()
        self.record.write("store acknowledges that %s is draining" % server.id)
        await asyncio.gather(*visitors)


if __name__ == "__main__":
    case = Case()
    case.configure(1, [("r-1", SERVICE_IP, PORT, "idempotent", "readings")])
    play(case, case.story, "DRAIN")
