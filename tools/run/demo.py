#!/usr/bin/env python3
"""Demonstrates cold starts through all nodes at once, a stream and a booking."""
import argparse
import concurrent.futures
import json
import pathlib
import sys
import time

from estate import BOOTSTRAP_TOKEN, Estate, ROOT, call

EXAMPLES = ROOT / "examples/demo"
NODES = 3
ENGINE_MEMORY_MB = 40000
MODELS = {"ramdeen": ["route-notes", "care-plans", "audit-reader", "route-notes:chaguanas"],
          "cliffline": ["grade-check", "reset-plans", "season-history"]}
REPLICA_LIMIT = {"ramdeen": 1, "cliffline": 2}


def start() -> Estate:
    estate = Estate(pathlib.Path(arguments.build).resolve())
    for i in range(2):
        estate.add_engine(f"gw-{i}", "greenwriter", memory_mb=ENGINE_MEMORY_MB, checks_fence="true")
        estate.add_engine(f"sm-{i}", "setter-models", memory_mb=ENGINE_MEMORY_MB, checks_fence="false")
    estate.add_service("desk-0", "gym-desk")
    for i in range(NODES):
        estate.add_node(f"node-{i}")
    print(estate.apply(EXAMPLES / "estate.json", BOOTSTRAP_TOKEN).strip())
    print(estate.apply(EXAMPLES / "ramdeen.json", "ramdeen-demo-token").strip())
    print(estate.apply(EXAMPLES / "cliffline.json", "cliffline-demo-token").strip())
    estate.wait_ready()
    return estate


def chat(node, key: str, model: str, text: str, stream=False):
    begin = time.monotonic()
    status, headers, body = call(
        node.caller, "POST", "/v1/chat/completions",
        {"model": model, "stream": stream, "max_tokens": 12,
         "messages": [{"role": "user", "content": text}]},
        {"Authorization": f"Bearer {key}", "X-Deadline-Ms": "30000",
         "Content-Type": "application/json"}, timeout=60)
    return status, headers, body.decode(), time.monotonic() - begin


def cold_start_burst(estate: Estate) -> bool:
    """Requests every model at every node at once while no model is loaded.

    Returns whether every request was answered.
    """
    jobs = []
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        for owner, models in MODELS.items():
            for model in models:
                for node in estate.nodes:
                    jobs.append((owner, model, pool.submit(
                        chat, node, f"{owner}-demo-key", model, f"hello from {node.name}")))
    print(f"\n{'model':<24} {'answers':>8} {'refusals':>9} {'slowest s':>10}")
    ok = True
    for owner, models in MODELS.items():
        for model in models:
            done = [job.result() for o, m, job in jobs if (o, m) == (owner, model)]
            answers = [it for it in done if it[0] == 200]
            ok = ok and len(answers) == len(done)
            print(f"{model:<24} {len(answers):>8} {len(done) - len(answers):>9} "
                  f"{max(it[3] for it in done):>10.2f}")
            for it in done:
                if it[0] != 200:
                    print("   ", it[0], it[2][:200])
    return ok


def check_loads(estate: Estate) -> bool:
    """Checks by the engines' ledgers that memory and replica limits were kept."""
    loads: dict[str, int] = {}
    ok = True
    print(f"\n{'engine':<10} {'memory MB':>10} {'peak MB':>10}  loads")
    for name in estate.engines:
        ledger = estate.ledger(name)
        peak, memory = ledger["peak_memory_mb"], ENGINE_MEMORY_MB
        ok = ok and peak <= memory
        print(f"{name:<10} {memory:>10} {peak:>10}  {json.dumps(ledger['loads'])}")
        for model, count in ledger["loads"].items():
            loads[model] = loads.get(model, 0) + count
    for owner, limit in REPLICA_LIMIT.items():
        for model in MODELS[owner]:
            count = loads.get(model, 0)
            if count > limit or count == 0:
                print(f"{model}: {count} loads, allowed 1 to {limit}")
                ok = False
    return ok


def stream_answer(estate: Estate) -> bool:
    status, _, body, seconds = chat(estate.nodes[0], "cliffline-demo-key", "grade-check",
                                    "grade this route", stream=True)
    events = [line for line in body.splitlines() if line.startswith("data: ")]
    complete = bool(events) and events[-1] == "data: [DONE]"
    print(f"\nstream: status {status}, {len(events)} events in {seconds:.2f} s, "
          f"end marker {'seen' if complete else 'MISSING'}")
    return status == 200 and complete


def book_once(estate: Estate) -> bool:
    """Sends the same booking to each node; returns whether it ran exactly once."""
    answers = []
    for node in estate.nodes:
        status, _, body = call(node.caller, "POST", "/services/closures/book",
                               {"wall": "north", "day": "2027-01-09"},
                               {"Authorization": "Bearer cliffline-demo-key",
                                "Idempotency-Key": "booking-1",
                                "Content-Type": "application/json"})
        answers.append((status, body))
    runs = sum(it["kind"] == "run" for it in estate.ledger("desk-0")["events"])
    print(f"booking sent to {len(answers)} nodes: statuses {[it[0] for it in answers]}, "
          f"runs at the service {runs}")
    return runs == 1 and len(set(answers)) == 1 and answers[0][0] == 200


def show_timeline(estate: Estate):
    nodes = [f"--node=127.0.0.1:{it.admin}" for it in estate.nodes]
    text = estate.ctl("timeline", *nodes)
    lines = text.splitlines()
    print(f"\ntimeline, the first of {len(lines)} lines:")
    print("\n".join(lines[:15]))


def print_curl(estate: Estate):
    node = estate.nodes[0]
    print(f"""
The processes keep running; try:
  curl -H 'Authorization: Bearer cliffline-demo-key' -d '{{"model":"grade-check","stream":true,"messages":[{{"role":"user","content":"hello"}}]}}' http://127.0.0.1:{node.caller}/v1/chat/completions
  curl http://127.0.0.1:{node.admin}/metrics
processes: {' '.join(str(it.pid) for it in estate.processes)}""")


def main() -> int:
    estate = start()
    results = {"cold starts": cold_start_burst(estate), "loads": check_loads(estate),
               "stream": stream_answer(estate), "booking": book_once(estate)}
    estate.keep = arguments.keep
    show_timeline(estate)
    if arguments.keep:
        print_curl(estate)
    else:
        statuses = estate.stop_nodes()
        results["shutdown"] = all(it == 0 for it in statuses.values())
        print(f"graceful shutdown: exit statuses {statuses}")
    print("\n" + ", ".join(f"{name}: {'ok' if ok else 'FAILED'}"
                           for name, ok in results.items()))
    return 0 if all(results.values()) else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--keep", action="store_true")
    arguments = parser.parse_args()
    sys.exit(main())
