"""A faulty server spoils one answer in fifty: a long trailer follows it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 3
SERVERS = 3
# One server of three spoils 2 in 100 of its answers.
SPOILS_EVERY = 50
FIELD_BYTES = 70000
SECONDS = 60
BOOKING_S = 0.4
CLIENTS = 6     # that send bookings to each node


class FaultyServer(fleet.Server):
    """Sends some answers in chunks, with a trailer field of 70,000 bytes."""

    answers = 0
    spoilt = 0

    async def run(self, method, target, headers, body):
        out = await super().run(method, target, headers, body)
        self.answers += 1
        if not TROUBLE or self.answers % SPOILS_EVERY != 0:
            return out
        self.spoilt += 1
        self.record.line("server %s spoils its answer to %s" %
                         (self.id, headers.get("attempt-id")))
        head, _, text = out.partition(b"\r\n\r\n")
        lines = [it for it in head.split(b"\r\n")
                 if not it.startswith(b"Content-Length")]
        return (b"\r\n".join(lines) + b"\r\nTransfer-Encoding: chunked\r\n\r\n" +
                b"%x\r\n%s\r\n0\r\nX-Rest: " % (len(text), text) +
                b"r" * FIELD_BYTES + b"\r\n\r\n")


async def case(record, folder):
    store = fleet.Store(record)
    ports = [fleet.free_port() for _ in range(NODES)]
    nodes = [fleet.Node(folder, record, "front-%d" % (n + 1), ports[n])
             for n in range(NODES)]
    servers = [FaultyServer(store, record, "i-desk-0", "bookdesk",
                            work_s=BOOKING_S)] + [
        fleet.Server(store, record, "i-desk-%d" % n, "bookdesk",
                     work_s=BOOKING_S) for n in range(1, SERVERS)]
    server_ports = [fleet.free_port() for _ in servers]
    fleet.release_ports()
    keepers = []
    bookings = fleet.Bookings(record, nodes, servers[1:], CLIENTS)
    try:
        for port in ports:
            await store.listen(port)
        await store.put("config", "main", fleet.config(
            1, [fleet.plain_route("stock-check", "bookdesk", "/stock/"),
                fleet.plain_route("visit-dispatch", "bookdesk", "/book/",
                                  "non_idempotent", maxAttempts=1)],
            [{"name": "bookdesk", "healthPath": "/health", "maxConns": 110}]))
        for server, port in zip(servers, server_ports):
            await server.start(port)
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.await_ready():
                record.line("%s does not become ready" % node.name)
                return 2
        keepers = [asyncio.create_task(it.keep_running()) for it in nodes]
        await asyncio.sleep(2)
        bookings.start()
        await asyncio.sleep(SECONDS)
        await bookings.stop()
        record.line("i-desk-0 spoilt %d of %d answers" %
                    (servers[0].spoilt, servers[0].answers))
        fleet.breaks_fault(record, nodes)
        return 1 if bookings.breaks_lost() else 0
    finally:
        for it in keepers:
            it.cancel()
        for node in nodes:
            await node.stop()
        for it in [store] + servers:
            await it.close()


fleet.run_case(FOLDER, case)
