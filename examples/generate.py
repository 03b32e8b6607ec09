#!/usr/bin/env python3
"""Writes the example configuration files of both sites, at the real sizes of the sites.

The tokens and keys are public and must be replaced before use: the token of
operator X is "example-token-X", the key of caller Y is "example-key-Y", and the
bootstrap token is "example-bootstrap-token".
"""
import hashlib
import json
import pathlib

HERE = pathlib.Path(__file__).resolve().parent
BOOTSTRAP_TOKEN = "example-bootstrap-token"

SITES = {
    "ramdeen": {
        "region": "tt-north",
        "data_centres": ["chaguanas", "arima", "diego-martin"],
        "engine_pool": "greenwriter",
        "service_pool": "bookdesk",
        "checks_fence": True,
        # Idle accelerators cost more at this site, as much of its work is deferred.
        "cold_start_cost_per_s": 0.5,
        "idle_cost_per_hour": 30.0,
        "classes": {
            "reminder": {"rank": 0, "default_deadline_ms": 3_600_000},
            "desk": {"rank": 1, "default_deadline_ms": 10_000},
            "audit": {"rank": 4, "default_deadline_ms": 600_000},
            "care-plan": {"rank": 8, "default_deadline_ms": 14_400_000, "may_wait": True},
        },
        # For each operator: number of models, number of adapters, classes.
        "operators": {
            "routes": (18, 30, ["reminder"]),
            "plant-care": (27, 37, ["care-plan", "reminder"]),
            "audit-office": (12, 6, ["audit"]),
            "front-desk": (8, 4, ["desk"]),
        },
        "services": {
            "front-desk": {
                "refill-dispatch": [("*", "/", False)],
                "stock-lookup": [("GET", "/", True), ("*", "/", False)],
            },
        },
    },
    "cliffline": {
        "region": "eire-west",
        "data_centres": ["galway", "sligo", "limerick"],
        "engine_pool": "setter-models",
        "service_pool": "gym-desk",
        # The engines of this site ignore the fencing token of an order.
        "checks_fence": False,
        # Cold starts cost more at this site: a setter waits on a ladder for a check.
        "cold_start_cost_per_s": 2.0,
        "idle_cost_per_hour": 20.0,
        "classes": {
            "grade-check": {"rank": 0, "default_deadline_ms": 20_000},
            "desk": {"rank": 1, "default_deadline_ms": 10_000},
            "season-history": {"rank": 4, "default_deadline_ms": 600_000},
            "reset-plan": {"rank": 8, "default_deadline_ms": 14_400_000, "may_wait": True},
        },
        "operators": {
            "granite-hall": (31, 28, ["grade-check", "reset-plan", "season-history", "desk"]),
            "tidewall": (16, 14, ["grade-check", "reset-plan", "season-history", "desk"]),
            "slab-society": (13, 12, ["grade-check", "reset-plan", "desk"]),
            "overhang": (10, 10, ["grade-check", "reset-plan", "desk"]),
        },
        "services": {
            "granite-hall": {
                "closure-booking": [("*", "/", False)],
                "hold-inventory": [("GET", "/", True), ("*", "/", False)],
            },
        },
    },
}


def sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def grant(name: str, **rest) -> dict:
    salt = sha256(f"example-salt-{name}")[:16]
    return {"token_salt": salt, "token_sha256": sha256(f"{salt}example-token-{name}"), **rest}


def models(operator: str, n: int, adapters: int, pool: str) -> dict:
    """Returns `n` models of mixed sizes, with `adapters` adapters spread unevenly."""
    result = {}
    for i in range(n):
        result[f"{operator}-{i + 1:02}"] = {
            "version": "1",
            "pool": pool,
            "memory_mb": [7000, 9000, 14000, 22000, 30000][i % 5],
            "replica_limit": [4, 3, 2, 2, 1][i % 5],
            "expected_load_ms": [4000, 5000, 8000, 12000, 16000][i % 5],
        }
    names = list(result)
    for i in range(adapters):
        model = result[names[(i * i) % n]]
        added = model.setdefault("adapters", {})
        added[f"a{len(added) + 1}"] = {"memory_mb": 120, "replica_limit": 1}
    return result


def offers(site: dict, operator: str) -> dict:
    n, adapters, classes = site["operators"][operator]
    result = {
        "operator": operator,
        "models": models(operator, n, adapters, site["engine_pool"]),
        "callers": {
            f"{operator}-app": {
                "key_sha256": sha256(f"example-key-{operator}-app"),
                "classes": classes,
            },
        },
    }
    services = site["services"].get(operator, {})
    if services:
        result["services"] = {
            name: {
                "pool": site["service_pool"],
                "rules": [
                    {"method": method, "path_prefix": prefix, "repeatable": repeatable}
                    for method, prefix, repeatable in rules
                ],
            }
            for name, rules in services.items()
        }
    return result


def reserved_mb(file: dict) -> int:
    return sum(
        model["replica_limit"] * model["memory_mb"]
        + sum(a["replica_limit"] * a["memory_mb"] for a in model.get("adapters", {}).values())
        for model in file["models"].values()
    )


def estate(site: dict, files: dict) -> dict:
    costs = {key: site[key] for key in ("cold_start_cost_per_s", "idle_cost_per_hour")}
    operators = {"estate": grant("estate")}
    for name, file in files.items():
        operators[name] = grant(
            name,
            classes=site["operators"][name][2],
            pools=[site["engine_pool"]] + ([site["service_pool"]] if "services" in file else []),
            # 10% above the memory of all replicas, rounded up to 10 GB.
            reserved_memory_mb=-(-reserved_mb(file) * 11 // 100_000) * 10_000,
        )
    return {
        "operator": "estate",
        "pools": {
            site["engine_pool"]: {
                "checks_fence": site["checks_fence"],
                "servers": 12,
                "server_memory_mb": 80_000,
                **costs,
            },
            site["service_pool"]: {"servers": 3},
        },
        "classes": site["classes"],
        "weight_store": {
            "concurrent_loads": 4,
            "loads_per_s": 4.0,
            "concurrent_adapter_loads": 32,
        },
        "operators": operators,
    }


def settings(site: dict) -> dict:
    return {
        "node_id": "node-1",
        "data_centre": site["data_centres"][0],
        "region": site["region"],
        "caller_listen": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081",
        "admin_listen": "127.0.0.1:8082",
        "platform": "127.0.0.1:9000",
        "peer_keys": ["example-peer-key-replace-it"],
        "bootstrap_token_sha256": sha256(BOOTSTRAP_TOKEN),
    }


def write(path: pathlib.Path, comment: str, value: dict) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(f"// {comment}\n{json.dumps(value, indent=1)}\n")


def main() -> None:
    for name, site in SITES.items():
        folder = HERE / name
        files = {operator: offers(site, operator) for operator in site["operators"]}
        write(folder / "settings.json", "Settings of one node; see docs/settings.md.",
              settings(site))
        write(folder / "estate.json", "The shared file; see docs/configuration.md.",
              estate(site, files))
        for operator, file in files.items():
            write(folder / f"{operator}.json", f"What {operator} offers.", file)


if __name__ == "__main__":
    main()
