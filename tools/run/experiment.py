#!/usr/bin/env python3
"""Compares the keep-alive policies on both example sites under equal workloads.

Nodes and stand-ins run in the numbers of a real site. Time is scaled: one second
of the run stands for TIME_SCALE seconds at the site. The cold wait is the time
from the arrival of a request for a model without a loaded replica to its dispatch.
Idle accelerator hours count the time that each loaded replica has no running
request, weighted by its fraction of its server's memory and by the number of
accelerators of the server.
"""
import argparse
import json
import pathlib
import re
import statistics
import sys
import time

from estate import Estate, ROOT

TIME_SCALE = 20
NODES = 8
SERVERS = 12
SERVICES = 3
SERVER_MEMORY_MB = 80000
ACCELERATORS_PER_SERVER = 4
# The weight store of a site takes 200 ms per GB and starts 4 loads per second;
# both are scaled.
MS_PER_GB = 200 / TIME_SCALE
LOADS_PER_S = 4 * TIME_SCALE
FIXED_KEEP_ALIVE_MS = 600_000 // TIME_SCALE
POLICIES = ["cost", "fixed", "never"]
BOOTSTRAP = "example-bootstrap-token"


def read_json(path: pathlib.Path):
    """Reads a JSON file that may contain // comment lines."""
    return json.loads(re.sub(r"^\s*//.*$", "", path.read_text(), flags=re.M))


class Site:
    """The example files of a site and the workload derived from them."""

    def __init__(self, name: str):
        self.name = name
        self.dir = ROOT / "examples" / name
        files = {it.stem: it for it in sorted(self.dir.glob("*.json"))
                 if it.stem != "settings"}
        self.estate_file = files.pop("estate")
        self.operator_files = files
        pools = read_json(self.estate_file)["pools"]
        self.engine_pool, self.engine = next(
            (key, pool) for key, pool in pools.items() if "cold_start_cost_per_s" in pool)
        self.service_pool = next(key for key in pools if key != self.engine_pool)

    def workload(self, seconds: float) -> dict:
        """Returns rare requests for all models, a burst before dawn, and service calls."""
        traffic = []
        for owner, path in self.operator_files.items():
            content = read_json(path)
            caller, spec = next(iter(content["callers"].items()))
            models = list(content["models"])
            names = models + [f"{model}:{adapter}" for model in models
                              for adapter in content["models"][model].get("adapters", {})]
            common = {"caller_key": f"example-key-{caller}", "class": spec["classes"][0],
                      "shared_prefix_bytes": 400, "prompt_bytes": 600, "max_tokens": 16}
            traffic.append({**common, "name": f"{owner}-rare", "models": names, "skew": 1.2,
                            "requests_per_s": 0.6, "end_s": seconds, "deadline_ms": 20000})
            traffic.append({**common, "name": f"{owner}-dawn", "models": names[:10],
                            "skew": 0.5, "requests_per_s": 20, "start_s": seconds * 0.3,
                            "end_s": seconds * 0.4, "deadline_ms": 20000})
            for service in content.get("services", {}):
                traffic.append({"caller_key": common["caller_key"],
                                "class": spec["classes"][0],
                                "name": service, "service": service, "path": "/call",
                                "repeatable": False, "requests_per_s": 1,
                                "end_s": seconds, "deadline_ms": 10000})
        return {"name": self.name, "traffic": traffic}


def start(site: Site, policy: str, build: pathlib.Path) -> Estate:
    estate = Estate(build, ms_per_gb=MS_PER_GB, loads_per_s=LOADS_PER_S)
    estate.bootstrap_token = BOOTSTRAP
    centres = ["a", "b", "c"]
    for i in range(SERVERS):
        estate.add_engine(f"{site.name}-e{i}", site.engine_pool, centres[i % 3],
                          memory_mb=SERVER_MEMORY_MB, disk_ms_per_gb=80 / TIME_SCALE,
                          memory_ms_per_gb=10 / TIME_SCALE,
                          checks_fence=str(site.engine.get("checks_fence", False)).lower())
    for i in range(SERVICES):
        estate.add_service(f"{site.name}-s{i}", site.service_pool, centres[i % 3])
    for i in range(NODES):
        estate.add_node(f"{site.name}-n{i}", centres[i % 3], keep_alive_policy=policy,
                        fixed_keep_alive_ms=FIXED_KEEP_ALIVE_MS)
    shared = read_json(site.estate_file)
    shared["weight_store"]["loads_per_s"] *= TIME_SCALE
    scaled = estate.dir / "estate.json"
    scaled.write_text(json.dumps(shared))
    estate.apply(scaled, BOOTSTRAP)
    for owner, path in site.operator_files.items():
        estate.apply(path, f"example-token-{owner}")
    estate.wait_ready()
    return estate


def idle_hours(ledgers: list[dict]) -> float:
    """Returns the idle accelerator hours of the site, from the engines' ledgers."""
    total = 0.0
    # All ledgers use the clock of this machine. The last event of any ledger ends
    # the run: an engine whose events end earlier counts as idle until then.
    last = max(it["at_ms"] for ledger in ledgers for it in ledger["events"])
    for ledger in ledgers:
        loaded, running, busy_since, requests = {}, {}, {}, {}
        idle_ms = {}

        def add_idle_time(order, at):
            since, memory = loaded[order]
            if running.get(order, 0) == 0:
                idle_ms[order] = idle_ms.get(order, 0) + (at - since) * memory
            loaded[order] = (at, memory)

        for event in ledger["events"]:
            at, kind = event["at_ms"], event["kind"]
            if kind == "load_ended":
                loaded[event["order"]] = (at, event["memory_mb"])
            elif kind == "request" and event["order"] in loaded:
                add_idle_time(event["order"], at)
                running[event["order"]] = running.get(event["order"], 0) + 1
                requests[event["request_id"]] = event["order"]
            elif kind == "request_ended" and event["request_id"] in requests:
                order = requests.pop(event["request_id"])
                if order in loaded:
                    add_idle_time(order, at)
                running[order] -= 1
            elif kind == "released" and event["order"] in loaded:
                add_idle_time(event["order"], at)
                del loaded[event["order"]]
        for order in list(loaded):
            add_idle_time(order, last)
        total += sum(idle_ms.values()) / SERVER_MEMORY_MB
    return total / 1000 * ACCELERATORS_PER_SERVER * TIME_SCALE / 3600


def peaks_hold(estate: Estate) -> bool:
    """Returns whether no engine's memory was ever overcommitted, by its ledger."""
    return all(estate.ledger(name)["peak_memory_mb"] <= SERVER_MEMORY_MB
               for name in estate.engines)


def run_policy(site: Site, policy: str, seed: int) -> dict:
    estate = start(site, policy, pathlib.Path(arguments.build).resolve())
    path = estate.dir / "workload.json"
    path.write_text(json.dumps(site.workload(arguments.seconds)))
    before = estate.counters()
    begin = time.monotonic()
    nodes = [f"--node=127.0.0.1:{it.caller}" for it in estate.nodes]
    report = json.loads(estate.ctl("load", str(path), *nodes, "--seed", str(seed),
                                   "--json", check=False))
    seconds = time.monotonic() - begin
    cpu = statistics.mean(it.cpu_s() for it in estate.nodes) / seconds * 100
    rss = max(it.rss_mb() for it in estate.nodes)
    after = estate.counters()
    all_traffic = report["all"]
    result = {
        "site": site.name, "policy": policy, "seed": seed,
        "answered": all_traffic["answered"],
        "refused": all_traffic["refused_not_run"] + all_traffic["refused_may_have_run"],
        "failed": all_traffic["failed"],
        "cold_starts": all_traffic["cold_wait"]["count"],
        "cold_p50_s": all_traffic["cold_wait"]["p50_ms"] * TIME_SCALE / 1000,
        "cold_p99_s": all_traffic["cold_wait"]["p99_ms"] * TIME_SCALE / 1000,
        "idle_hours": idle_hours([estate.ledger(it) for it in estate.engines]),
        "memory_ok": peaks_hold(estate), "node_cpu_percent": cpu, "node_rss_mb": rss,
        "platform": {"before": before, "after": after}, "seconds": seconds,
        "details": all_traffic["details"],
    }
    cold_s = all_traffic["cold_wait"].get("mean_ms", 0) * result["cold_starts"] * TIME_SCALE / 1000
    result["cost"] = (cold_s * site.engine["cold_start_cost_per_s"]
                      + result["idle_hours"] * site.engine["idle_cost_per_hour"])
    estate.stop_nodes()
    estate.stop_all()
    return result


def print_row(it: dict):
    print(f"{it['site']:<10} {it['policy']:<6} {it['seed']:>4} {it['answered']:>9} "
          f"{it['refused']:>8} {it['failed']:>7} {it['cold_starts']:>6} "
          f"{it['cold_p50_s']:>9.1f} {it['cold_p99_s']:>9.1f} {it['idle_hours']:>10.1f} "
          f"{it['cost']:>9.1f} {it['node_cpu_percent']:>7.1f} {it['node_rss_mb']:>7.1f}",
          flush=True)


def main() -> int:
    print(f"{'site':<10} {'policy':<6} {'seed':>4} {'answered':>9} {'refused':>8} "
          f"{'failed':>7} {'cold':>6} {'p50 s':>9} {'p99 s':>9} {'idle h':>10} "
          f"{'cost':>9} {'cpu %':>7} {'MB':>7}")
    results = []
    for name in arguments.sites.split(","):
        for seed in (int(it) for it in arguments.seeds.split(",")):
            for policy in arguments.policies.split(","):
                results.append(run_policy(Site(name), policy, seed))
                print_row(results[-1])
    if arguments.json:
        pathlib.Path(arguments.json).write_text(json.dumps(results, indent=1))
    passed = all(it["failed"] == 0 and it["memory_ok"] for it in results)
    print("every request was answered or refused, and no memory was overcommitted" if passed
          else "FAILED: requests without an answer or refusal, or memory overcommitted")
    return 0 if passed else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--sites", default="ramdeen,cliffline")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seeds", default="11")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    sys.exit(main())
