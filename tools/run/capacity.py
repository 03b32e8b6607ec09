#!/usr/bin/env python3
"""Measures how costs grow with size, as the basis of docs/CAPACITY.md.

Each part varies one size and prints one row per value: nodes, models, servers in a
cell, waiting requests, and requests and tokens relayed through one node.
"""
import argparse
import concurrent.futures
import hashlib
import http.client
import json
import pathlib
import statistics
import sys
import time

from estate import BOOTSTRAP_TOKEN, Estate, call_json

MEMORY_MB = 80000
FULL_MESH_NODES = 9
CALLER_KEY = "capacity-key"
TOKEN = "capacity-token"


def digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def files(models: int, adapters_each: int = 0, replica_limit: int = 1):
    """Returns an estate file and the file of one operator with `models` models."""
    estate = {"operator": "estate", "pools": {"p": {"checks_fence": True}},
              "classes": {"c": {"rank": 0, "default_deadline_ms": 60000}},
              "weight_store": {"concurrent_loads": 4, "loads_per_s": 400},
              "operators": {
                  "estate": {"token_salt": "s", "token_sha256": digest("s" + TOKEN)},
                  "op": {"token_salt": "s", "token_sha256": digest("s" + TOKEN),
                         "classes": ["c"], "pools": ["p"]}}}
    adapters = {f"a{i}": {"memory_mb": 10} for i in range(adapters_each)}
    operator = {"operator": "op",
                "models": {f"m{i}": {"version": "1", "pool": "p", "memory_mb": 100,
                                     "replica_limit": replica_limit,
                                     "expected_load_ms": 50, "sources": ["remote"],
                                     "adapters": adapters}
                           for i in range(models)},
                "callers": {"app": {"key_sha256": digest(CALLER_KEY), "classes": ["c"]}}}
    return estate, operator


def start(nodes: int, servers: int, models: int, adapters_each=0, replica_limit=1,
          weight_flags=None, **engine_flags) -> Estate:
    flags = weight_flags or {"ms_per_gb": 10, "loads_per_s": 400}
    estate = Estate(pathlib.Path(arguments.build).resolve(), **flags)
    for i in range(servers):
        estate.add_engine(f"e{i}", "p", memory_mb=MEMORY_MB, **engine_flags)
    for i in range(nodes):
        estate.add_node(f"n{i}")
    for value, token in zip(files(models, adapters_each, replica_limit),
                            (BOOTSTRAP_TOKEN, TOKEN)):
        path = estate.dir / f"{value['operator']}.json"
        path.write_text(json.dumps(value))
        estate.apply(path, token)
    estate.wait_ready(60)
    return estate


def peer_bytes(estate: Estate) -> list[int]:
    return [call_json(it.admin, "GET", "/operator/status")["peers"]["counters"]["bytes_sent"]
            for it in estate.nodes]


def platform_calls(estate: Estate) -> int:
    status = [call_json(it.admin, "GET", "/operator/status")["platform_calls"]
              for it in estate.nodes]
    return sum(it["reads"] + it["writes"] + it["watches"] for it in status)


def idle_cost(estate: Estate, seconds: float) -> dict:
    """Measures the costs of a node that receives no requests, over `seconds`."""
    # Wait until the connections that the nodes opened when they joined are closed,
    # after 30 s without use.
    time.sleep(35 if len(estate.nodes) > FULL_MESH_NODES else 3)
    cpu, sent, calls = [it.cpu_s() for it in estate.nodes], peer_bytes(estate), platform_calls(estate)
    begin = time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - begin
    cpu_after = [it.cpu_s() for it in estate.nodes]
    sent_after = peer_bytes(estate)
    return {"cpu_percent": statistics.mean(b - a for a, b in zip(cpu, cpu_after)) / took * 100,
            "cpu_max_percent": max(b - a for a, b in zip(cpu, cpu_after)) / took * 100,
            "rss_mb": max(it.rss_mb() for it in estate.nodes),
            "peer_bytes_per_s": statistics.mean(
                b - a for a, b in zip(sent, sent_after)) / took,
            "platform_calls_per_s": (platform_calls(estate) - calls) / took}


def show(part: str, size: int, values: dict):
    text = "  ".join(f"{key} {value:.2f}" if isinstance(value, float) else f"{key} {value}"
                     for key, value in values.items())
    print(f"{part:<10} {size:>6}  {text}", flush=True)


def measure_nodes():
    """Measures idle costs by the number of nodes, with 12 servers and 65 models."""
    for nodes in (2, 4, 8, 16, 32):
        estate = start(nodes, 12, 65)
        show("nodes", nodes, idle_cost(estate, 15))
        estate.stop_all()


def measure_models():
    """Measures costs by the number of models and adapters, on 3 nodes."""
    for models, adapters in ((100, 0), (1000, 0), (100, 99), (270, 99)):
        begin = time.monotonic()
        estate = start(3, 4, models, adapters)
        applied = time.monotonic() - begin
        values = idle_cost(estate, 10)
        values["start_and_apply_s"] = applied
        values["in_force_s"] = time_to_force(estate, models, adapters)
        show("models", models * (1 + adapters), values)
        estate.stop_all()


def time_to_force(estate: Estate, models: int, adapters: int) -> float:
    """Returns the seconds from the acceptance of a change until all nodes apply it."""
    _, operator = files(models, adapters)
    operator["models"]["m0"]["memory_mb"] = 101
    path = estate.dir / "op.json"
    path.write_text(json.dumps(operator))
    version = int(estate.apply(path, TOKEN).split()[-1])
    begin = time.monotonic()
    while any(call_json(it.admin, "GET", "/operator/status")["config_version"] < version
              for it in estate.nodes):
        time.sleep(0.01)
    return time.monotonic() - begin


def chat(port: int, model: str, tokens: int, stream=False) -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=90)
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(
            {"model": model, "max_tokens": tokens, "stream": stream,
             "messages": [{"role": "user", "content": "hello"}]}),
            {"Authorization": f"Bearer {CALLER_KEY}", "X-Deadline-Ms": "60000",
             "Content-Type": "application/json"})
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


def measure_servers():
    """Measures a burst of requests for unloaded models, by the servers in the cell."""
    for servers in (8, 16, 32, 64):
        models = servers * 4
        estate = start(3, servers, models)
        before_cpu = sum(it.cpu_s() for it in estate.nodes)
        before = platform_calls(estate)
        begin = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            statuses = list(pool.map(
                lambda i: chat(estate.nodes[i % 3].caller, f"m{i}", 2), range(models)))
        took = time.monotonic() - begin
        record = call_json(estate.platform, "GET", "/objects/cells/p")
        show("servers", servers, {
            "models": models, "answered": statuses.count(200), "seconds": took,
            "cpu_ms_per_load": (sum(it.cpu_s() for it in estate.nodes) - before_cpu)
                               / models * 1000,
            "platform_calls_per_load": (platform_calls(estate) - before) / models,
            "record_bytes": len(json.dumps(record)),
            "rss_mb": max(it.rss_mb() for it in estate.nodes)})
        estate.stop_all()


def measure_waiting():
    """Measures the memory of a waiting request, with a model that loads slowly."""
    for waiting in (0, 500, 1000, 2000):
        estate = start(1, 1, 2, weight_flags={"ms_per_gb": 400000, "loads_per_s": 4})
        node = estate.nodes[0]
        base = node.rss_mb()
        connections = []
        body = json.dumps({"model": "m0", "messages": [{"role": "user", "content": "x" * 500}]})
        for _ in range(waiting):
            connection = http.client.HTTPConnection("127.0.0.1", node.caller, timeout=90)
            connection.request("POST", "/v1/chat/completions", body,
                               {"Authorization": f"Bearer {CALLER_KEY}",
                                "X-Deadline-Ms": "600000"})
            connections.append(connection)
        time.sleep(2)
        rss = node.rss_mb()
        show("waiting", waiting, {"rss_mb": rss, "bytes_each":
                                  (rss - base) * 1048576 / max(waiting, 1)})
        for it in connections:
            it.close()
        estate.stop_all()


def measure_relay():
    """Measures one node's processor time for each request and each relayed token."""
    estate = start(1, 4, 4, tokens_per_s=5000, capacity=64, replica_limit=1)
    node = estate.nodes[0]
    for model in range(4):
        chat(node.caller, f"m{model}", 1)
    for tokens in (1, 50, 200):
        for stream in (False, True):
            cpu = node.cpu_s()
            begin = time.monotonic()
            requests = 1500
            with concurrent.futures.ThreadPoolExecutor(48) as pool:
                done = list(pool.map(
                    lambda i: chat(node.caller, f"m{i % 4}", tokens, stream),
                    range(requests)))
            took = time.monotonic() - begin
            used = node.cpu_s() - cpu
            show("relay", tokens, {
                "stream": str(stream), "answered": done.count(200),
                "requests_per_s": requests / took, "cpu_us_per_request":
                    used / requests * 1e6,
                "cpu_share": used / took})
    estate.stop_all()


PARTS = {"nodes": measure_nodes, "models": measure_models, "servers": measure_servers,
         "waiting": measure_waiting, "relay": measure_relay}


def main() -> int:
    for name in arguments.parts.split(","):
        PARTS[name]()
    return 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--parts", default=",".join(PARTS))
    arguments = parser.parse_args()
    sys.exit(main())
