"""A server leaves, and shortly after the store comes back from a copy that
still has the server's entry."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 2
COPY_AT_S = 4.0
LEAVES_AT_S = 6.0
AWAY_AT_S = 8.5
BACK_AT_S = 9.0
# The server goes on serving for drainMs and "a little longer (at times many
# seconds)".
SERVES_UNTIL_S = 14.0
END_S = 15.0


async def until(record, start, seconds):
    await asyncio.sleep(max(0, start + seconds - record.now()))


async def drill(record, store, start, copy, staying):
    await until(record, start, AWAY_AT_S)
    store.away = True
    record.line("the store is away")
    await until(record, start, BACK_AT_S)
    await store.restore(copy)
    store.away = False
    record.line("the store is back from a copy that is %.1f s old, era %d" %
                (BACK_AT_S - COPY_AT_S, store.era))
    # What the servers that live wrote is written again; the entry of the one
    # that left is removed after three check-in intervals of silence.
    await asyncio.sleep(0.3)
    await staying.register()
    await asyncio.sleep(3 * fleet.HEARTBEAT_MS / 1000 - 0.3)
    await store.remove("servers", "i-leaves")
    record.line("the entry of i-leaves has expired")


async def case(record, folder):
    store = fleet.Store(record)
    store.era = 1
    ports = [fleet.free_port() for _ in range(NODES)]
    nodes = [fleet.Node(folder, record, "front-%d" % (n + 1), ports[n])
             for n in range(NODES)]
    leaves = fleet.Server(store, record, "i-leaves", "bookdesk")
    stays = fleet.Server(store, record, "i-stays", "bookdesk")
    server_ports = [fleet.free_port(), fleet.free_port()]
    fleet.release_ports()
    stop = asyncio.Event()
    counts = {}
    try:
        for port in ports:
            await store.listen(port)
        await store.put("config", "main", fleet.config(
            1, [fleet.plain_route("stock-check", "bookdesk", "/stock/")],
            [{"name": "bookdesk", "healthPath": "/health", "maxConns": 110}]))
        await leaves.start(server_ports[0])
        await stays.start(server_ports[1])
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.await_ready():
                return 2
        start = record.now()
        traffic = asyncio.create_task(
            fleet.lookups(record, nodes, counts, stop))
        await until(record, start, COPY_AT_S)
        copy = store.copy()
        record.line("the platform copies its store")
        await until(record, start, LEAVES_AT_S)
        leaving = fleet.Leaving(store, record, leaves)
        await leaving.remove_entry()
        task = None
        if TROUBLE:
            task = asyncio.create_task(
                drill(record, store, start, copy, stays))
        await until(record, start, SERVES_UNTIL_S)
        await leaves.close()
        record.line("i-leaves has ended")
        await until(record, start, END_S)
        stop.set()
        await traffic
        if task:
            await task
        if len(leaving.acknowledged) < NODES:
            record.line("not every node was told of the removal")
            return 2
        limit, late = leaving.late_runs()
        record.line("answers by status: %s" % counts)
        record.line("i-leaves ran %d requests later than %.3f, drainMs after "
                    "both nodes were told; the last at %.3f" %
                    (len(late), limit, late[-1][0] if late else 0))
        return 1 if late else 0
    finally:
        for node in nodes:
            await node.stop()
        for it in (store, leaves, stays):
            await it.close()


fleet.run_case(FOLDER, case)
