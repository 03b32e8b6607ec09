"""The store rejects one node twice, and a server's entry is removed between."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST_S = (5.0, 5.6)
LEAVES_AT_S = 6.3
SECOND_S = (6.8, 11.3)
SERVES_UNTIL_S = 13.0
END_S = 14.0


async def until(record, start, seconds):
    await asyncio.sleep(max(0, start + seconds - record.now()))


async def reject(record, store, port, start, span):
    await until(record, start, span[0])
    store.rejected.add(port)
    record.line("the store answers the node with 503")
    await until(record, start, span[1])
    store.rejected.discard(port)
    record.line("the store serves the node again")


async def case(record, folder):
    store = fleet.Store(record)
    port = fleet.free_port()
    node = fleet.Node(folder, record, "front-1", port)
    leaves = fleet.Server(store, record, "i-leaves", "bookdesk")
    stays = fleet.Server(store, record, "i-stays", "bookdesk")
    server_ports = [fleet.free_port(), fleet.free_port()]
    fleet.release_ports()
    stop = asyncio.Event()
    counts = {}
    try:
        await store.listen(port)
        await store.put("config", "main", fleet.config(
            1, [fleet.plain_route("stock-check", "bookdesk", "/stock/")],
            [{"name": "bookdesk", "healthPath": "/health", "maxConns": 110}]))
        await leaves.start(server_ports[0])
        await stays.start(server_ports[1])
        await node.start()
        if not await node.await_ready():
            return 2
        start = record.now()
        traffic = asyncio.create_task(
            fleet.lookups(record, [node], counts, stop))
        tasks = []
        if TROUBLE:
            tasks = [asyncio.create_task(
                reject(record, store, port, start, it))
                for it in (FIRST_S, SECOND_S)]
        await until(record, start, LEAVES_AT_S)
        leaving = fleet.Leaving(store, record, leaves)
        await leaving.remove_entry()
        await until(record, start, SERVES_UNTIL_S)
        await leaves.close()
        record.line("i-leaves has ended")
        await until(record, start, END_S)
        stop.set()
        await traffic
        for it in tasks:
            await it
        if not leaving.acknowledged:
            record.line("the node was not told of the removal")
            return 2
        limit, late = leaving.late_runs()
        record.line("answers by status: %s" % counts)
        record.line("i-leaves ran %d requests later than %.3f, drainMs after "
                    "the node was told; the last at %.3f" %
                    (len(late), limit, late[-1][0] if late else 0))
        return 1 if late else 0
    finally:
        await node.stop()
        for it in (store, leaves, stays):
            await it.close()


fleet.run_case(FOLDER, case)
