"""An order for an adapter gets no answer, and the server's report lists the
adapter as pending."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))

from engine import Engine
from standins import (CaseNotRun, Node, Store, configuration, free_ports,
                      request, route, run_case, trouble)

SERVICE = "greenwriter"
MODEL = "daka510000"
ADAPTER_SLOTS = 8
HEARTBEAT_S = 1.2
EVENTS = 40
STREAMS = 3


async def case(record, scratch, nodes):
    store = Store(record)
    await store.start()
    engine = Engine(record, SERVICE, MODEL, ADAPTER_SLOTS, EVENTS)
    await engine.start()
    store.put("config", "main", configuration(
        7, [route("plan", "streaming", SERVICE, 17000, goalMs=3000,
                  gapTargetMs=400, sticky=True)],
        [{"name": SERVICE, "healthPath": "/health", "maxConns": 370,
          "engine": {"slots": 64, "weightsMb": 200000,
                     "adapterSlots": ADAPTER_SLOTS, "loadsPerS": 3.8,
                     "models": [{"name": MODEL, "weightsMb": 60000,
                                 "loadS": 6, "diskS": 2, "warmS": 1,
                                 "adapters": 9, "adapterMb": 200}]}}]))
    store.check_in(engine.name, engine.description())

    async def check_in():
        while engine.overfilled is None:
            store.check_in(engine.name, engine.description())
            await asyncio.sleep(HEARTBEAT_S)

    check_ins = asyncio.create_task(check_in())
    node = Node(scratch, "front-chaguanas-1", "127.0.0.11", "chaguanas",
                free_ports(), store.address)
    nodes.append(node)
    node.start()
    await node.wait_ready()
    counter = iter(range(1, 1000))

    async def plan(adapter, length):
        attempt = "a%02d-%s" % (next(counter), adapter)
        record.write("the client sends %s" % attempt)
        answer = await request(node.front, "POST", "/plan/" + length, [
            ("Host", "ficu95.example"), ("Attempt-Id", attempt),
            ("Model", MODEL + "/" + adapter), ("Token-Count", "646,70"),
            ("Deadline-Ms", "17000")], b"a plan", timeout=30)
        whole = answer["body"].count(b"data:")
        record.write("the client gets %d with %d events for %s" % (
            answer["status"], whole, attempt))
        return answer["status"]

    for i in range(1, ADAPTER_SLOTS):
        if await plan("a%d" % i, "short") != 200:
            raise CaseNotRun("an adapter was not loaded")
    if len(engine.adapters) != ADAPTER_SLOTS - 1:
        raise CaseNotRun("the server does not hold the adapters")
    streams = [asyncio.create_task(plan("a%d" % i, "long"))
               for i in range(1, STREAMS + 1)]
    await asyncio.sleep(0.5)
    if trouble():
        engine.lose_answer_of = "a9"
    others = [asyncio.create_task(plan("a9", "short"))]
    await asyncio.sleep(0.1)
    others.append(asyncio.create_task(plan("a8", "short")))
    results = await asyncio.gather(*streams)
    await asyncio.sleep(0.1)
    for it in others:
        it.cancel()
    check_ins.cancel()
    record.write("%d of %d plans that ran were lost" % (
        sum(1 for it in results if it != 200), len(results)))
    return engine.overfilled is None


run_case(case, FOLDER)
