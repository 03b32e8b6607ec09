"""A server says in an answer that it leaves, while its entry has lapsed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from standins import (CaseNotRun, Node, Server, Store, configuration,
                      free_ports, make_response, request, route, run_case,
                      sealed, trouble)

SERVICE = "bookdesk"
SLOTS = 6
OTHER_SERVERS = 5
LONG_REQUESTS = 24
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
# Seconds from the beginning of the cut, which comes right before a check-in.
LONG_REQUESTS_AT_S = 1.6
LEAVES_AT_S = 2.0
LAPSES_AT_S = 3 * HEARTBEAT_S - HEARTBEAT_S
HEALS_AT_S = 5.0
# It exits when new bookings have come for so long, or else at the end.
EXITS_AFTER_S = 0.3
ENDS_AT_S = 7.0
# Work of a request at a server.
LONG_WORK_S = 1.0
SHORT_WORK_S = 0.5
# Bookings each second, in the part that counts.
RATE = 40


class Case:
    def __init__(self, record, scratch, nodes):
        self.record = record
        self.scratch = scratch
        self.nodes = nodes
        self.store = Store(record)
        self.leaving = Server(record, "i-leaving", "chaguanas", self.serve_x)
        self.others = [Server(record, "i-other-%d" % (i + 1), "chaguanas",
                              self.serve_y) for i in range(OTHER_SERVERS)]
        self.x_leaves = False
        self.x_is_cut = False
        self.checked_in = asyncio.Event()
        self.held_up = None
        self.told_at = None
        self.counts = False
        self.arrived_at = None
        self.arrived = []
        self.next_id = 0

    # ---- the two servers

    async def serve_x(self, method, target, fields, body, writer):
        attempt = fields.get("attempt-id", "")
        self.record.write("i-leaving runs %s %s" % (attempt, target))
        if self.counts:
            self.arrived.append(attempt)
            self.arrived_at = (self.arrived_at or
                               asyncio.get_running_loop().time())
        await asyncio.sleep(
            LONG_WORK_S if target.endswith("/long") else SHORT_WORK_S)
        extra = [("Server-Leaving", "1")] if self.x_leaves else []
        writer.write(make_response(200, sealed(fields, extra), b"booked"))
        await writer.drain()
        if extra and self.told_at is None:
            self.told_at = asyncio.get_running_loop().time()
        self.record.write("i-leaving has answered %s%s" % (
            attempt, " with Server-Leaving: 1" if extra else ""))

    async def serve_y(self, method, target, fields, body, writer):
        attempt = fields.get("attempt-id", "")
        self.record.write("another server runs %s %s" % (attempt, target))
        await asyncio.sleep(
            LONG_WORK_S if target.endswith("/long") else SHORT_WORK_S)
        writer.write(make_response(200, sealed(fields), b"booked"))

    async def check_in_x(self):
        """Checks in every heartbeat. What the cut holds up arrives when it
        heals; meanwhile the server waits for its answer. It is one of those
        that never report that they drain."""
        while not self.x_leaves:
            entry = self.leaving.entry(SERVICE, SLOTS)
            if self.x_is_cut:
                self.record.write(
                    "i-leaving sends its check-in %d, which the cut holds up"
                    % entry["seq"])
                self.held_up = entry
                return
            self.store.check_in(self.leaving.name, entry)
            self.checked_in.set()
            await asyncio.sleep(HEARTBEAT_S)

    async def check_in_y(self):
        while True:
            for server in self.others:
                self.store.check_in(server.name, server.entry(SERVICE, SLOTS))
            await asyncio.sleep(HEARTBEAT_S)

    # ---- the client

    async def book(self, kind):
        self.next_id += 1
        attempt = "a%03d" % self.next_id
        fields = [("Host", "ficu95.example"), ("Attempt-Id", attempt),
                  ("Deadline-Ms", "4000")]
        self.record.write("the client sends %s" % attempt)
        answer = await request(self.nodes[0].front, "POST",
                               "/booking/" + kind, fields, b"one visit")
        self.record.write("the client gets %d for %s" % (
            answer["status"], attempt))
        return attempt, answer["status"]

    async def run(self):
        store = self.store
        await store.start()
        await self.leaving.start()
        for server in self.others:
            await server.start()
        store.put("config", "main", configuration(
            7, [route("booking", "non_idempotent", SERVICE, 4000, 1)],
            [{"name": SERVICE, "healthPath": "/health", "maxConns": 110}]))
        check_ins = [asyncio.create_task(self.check_in_y()),
                     asyncio.create_task(self.check_in_x())]
        node = Node(self.scratch, "front-chaguanas-1", "127.0.0.11",
                    "chaguanas", free_ports(), store.address)
        self.nodes.append(node)
        node.start()
        await node.wait_ready()
        await asyncio.gather(*[self.book("short") for _ in range(4)])

        loop = asyncio.get_running_loop()
        self.checked_in.clear()
        await self.checked_in.wait()
        await asyncio.sleep(HEARTBEAT_S - 0.05)
        start = loop.time()

        async def until(seconds):
            await asyncio.sleep(max(0, start + seconds - loop.time()))

        if trouble():
            self.record.write("i-leaving is cut off from the store")
            self.x_is_cut = True
        await until(LONG_REQUESTS_AT_S)
        long_requests = [asyncio.create_task(self.book("long"))
                         for _ in range(LONG_REQUESTS)]
        await until(LEAVES_AT_S)
        self.record.write("i-leaving begins to leave")
        self.x_leaves = True
        await until(LAPSES_AT_S)
        if trouble():
            store.remove("servers", self.leaving.name)
            self.record.write("the store drops the entry of i-leaving after "
                              "three check-in intervals of silence")
        await asyncio.gather(*long_requests)
        if self.told_at is None:
            raise CaseNotRun("no long request went to i-leaving")
        await until(HEALS_AT_S)
        if loop.time() < self.told_at + DRAIN_S:
            raise CaseNotRun("the answer came too late")
        if trouble():
            self.record.write("the cut heals; the check-in arrives")
            store.check_in(self.leaving.name, self.held_up)
        self.counts = True
        self.record.write("requests from here on count")
        tasks = []
        while loop.time() < start + ENDS_AT_S:
            if self.arrived_at and (
                    loop.time() >= self.arrived_at + EXITS_AFTER_S):
                self.record.write("i-leaving exits")
                self.leaving.exit()
                break
            tasks.append(asyncio.create_task(self.book("short")))
            await asyncio.sleep(1 / RATE)
        results = await asyncio.gather(*tasks)
        for it in check_ins:
            it.cancel()
        failed = [it for it in results if it[1] != 200]
        self.record.write(
            "%d of %d bookings that were sent more than %.1f s after the "
            "answer with Server-Leaving reached i-leaving: %s; answered with "
            "a failure: %s" % (len(self.arrived), len(results), DRAIN_S,
                               self.arrived, failed))
        return not self.arrived


async def case(record, scratch, nodes):
    return await Case(record, scratch, nodes).run()


run_case(case, FOLDER)
