"""A calm fleet of three instances in one zone, in which another writer adds one entry to the kind
"servers". A second later a server says that it leaves; later it ends.

Judges DRAIN: no opening may reach the server later than drain_ms after the store has acknowledged
that it is draining. No process, link or store is disturbed, so all machines are in touch.
"""
import asyncio
import time

import fleet

DRAIN_S = 3.0
LINGER_S = 15.0  # "at times many seconds"
HEARTBEAT_S = 0.77
CLIENTS = 24
PERIOD_S = 0.5


class CalmCase(fleet.World):
    def foreign_entry(self):
        """Name and contents of the entry of another writer."""
        raise NotImplementedError

    def opening_arrived(self, server, pkt):
        super().opening_arrived(server, pkt)
        if server.state == "draining":
            late = time.monotonic() - server.drained_at
            if late > DRAIN_S:
                self.breach("DRAIN: an opening reached server %s %.0f ms after the store had "
                            "acknowledged that it is draining" % (server.id, late * 1000))

    async def heartbeats(self, server):
        while time.monotonic() < self.end and server.alive:
            server.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def traffic(self, client):
        """A flow for each request."""
        await asyncio.sleep(client.nr * PERIOD_S / CLIENTS)
        while time.monotonic() < self.end:
            began = time.monotonic()
            await client.ask(2.0)
            client.flow["state"] = "closed"
            await asyncio.sleep(max(0.01, began + PERIOD_S - time.monotonic()))

    async def play(self, trouble):
        await self.start_store()
        address = (self.ip(7, 1), 443)
        self.config(1, [address + ("web",)])
        for _ in range(4):
            await self.add_server("web", "z1")
        insts = [self.add_instance("z1"), self.add_instance("z1"), self.add_instance("z1")]
        for inst in insts:
            self.start_instance(inst)
        await self.until_ready(insts)
        await asyncio.sleep(5)
        self.end = time.monotonic() + 25
        tasks = [asyncio.create_task(self.heartbeats(server)) for server in self.servers]
        for _ in range(CLIENTS):
            tasks.append(asyncio.create_task(self.traffic(await self.add_client(address))))
        await asyncio.sleep(3)
        if trouble:
            self.store.put("servers", *self.foreign_entry())
        await asyncio.sleep(1)
        self.servers[0].drain()
        await asyncio.sleep(LINGER_S)
        self.servers[0].stop()
        await asyncio.gather(*tasks)
