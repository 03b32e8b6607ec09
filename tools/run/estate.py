"""Starts nodes and stand-ins as processes for the demo and the measurements."""
import atexit
import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOOTSTRAP_TOKEN = "bootstrap-token"
START_TIMEOUT_S = 30


def free_port() -> int:
    """Returns a port that is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def call(port: int, method: str, target: str, body=None, headers=None, timeout=30):
    """Sends one HTTP request on loopback; returns status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        if body is not None and not isinstance(body, (bytes, str)):
            body = json.dumps(body)
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def call_json(port: int, method: str, target: str, body=None, headers=None):
    """Sends one HTTP request and returns its JSON response, or None if that is empty.

    Raises RuntimeError if the status is not 200.
    """
    status, _, data = call(port, method, target, body, headers)
    if status != 200:
        raise RuntimeError(f"{method} {target}: status {status}: {data[:300]!r}")
    return json.loads(data) if data else None


class Process:
    """A started process whose output goes to a log file."""

    def __init__(self, name: str, command: list[str], log_dir: pathlib.Path):
        self.name = name
        self.log = log_dir / f"{name}.log"
        with open(self.log, "wb") as log:
            self.popen = subprocess.Popen(command, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)

    @property
    def pid(self) -> int:
        return self.popen.pid

    def stop(self, kind=signal.SIGTERM, timeout=30) -> int:
        """Signals the process, waits for its end and returns its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(kind)
        return self.popen.wait(timeout)

    def cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")")[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self) -> float:
        """Returns the resident memory in MiB, or 0 if the kernel does not report it."""
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Node(Process):
    """A tanagerloomd process with its ports for clients, peers and administration."""

    def __init__(self, name, command, log_dir, caller, peer, admin):
        super().__init__(name, command, log_dir)
        self.caller, self.peer, self.admin = caller, peer, admin


class Estate:
    """Starts nodes and stand-ins and registers them with the platform stand-in."""

    def __init__(self, build: pathlib.Path, **weight_store_flags):
        self.build = build
        self.bootstrap_token = BOOTSTRAP_TOKEN
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="tanagerloom-"))
        self.processes: list[Process] = []
        self.nodes: list[Node] = []
        self.engines: dict[str, int] = {}
        self.services: dict[str, int] = {}
        self.keep = False
        atexit.register(self.stop_all)
        self.platform = self._standin("platform_standin", "platform")
        self.weights = self._standin("weight_store_standin", "weights",
                                     **weight_store_flags)

    def _standin(self, program: str, name: str, **flags) -> int:
        port = free_port()
        command = [str(self.build / "testing" / program), "--port", str(port)]
        for key, value in flags.items():
            command += [f"--{key.replace('_', '-')}", str(value)]
        self.processes.append(Process(name, command, self.dir))
        self._wait_for_port(port, name)
        return port

    def _wait_for_port(self, port: int, name: str):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            with socket.socket() as sock:
                if sock.connect_ex(("127.0.0.1", port)) == 0:
                    return
            time.sleep(0.02)
        raise RuntimeError(f"{name} does not listen; see {self.dir}")

    def _register(self, vm_id: str, role: str, port: int, **fields):
        vm = {"id": vm_id, "role": role, "address": "127.0.0.1", "port": port,
              "data_centre": "a", "state": "live", **fields}
        call_json(self.platform, "PUT", f"/test/vms/{vm_id}", vm)

    def add_engine(self, vm_id: str, pool: str, data_centre="a", **flags):
        """Starts an engine stand-in and registers its VM."""
        self.engines[vm_id] = self._standin(
            "engine_standin", vm_id, id=vm_id, weights=f"127.0.0.1:{self.weights}", **flags)
        self._register(vm_id, "engine", self.engines[vm_id], pool=pool,
                       data_centre=data_centre)

    def add_service(self, vm_id: str, pool: str, data_centre="a", **flags):
        """Starts a plain service stand-in and registers its VM."""
        self.services[vm_id] = self._standin("service_standin", vm_id, id=vm_id, **flags)
        self._register(vm_id, "service", self.services[vm_id], pool=pool,
                       data_centre=data_centre)

    def add_node(self, name: str, data_centre="a", **settings) -> Node:
        """Starts a node and registers its VM."""
        caller, peer, admin = free_port(), free_port(), free_port()
        values = {
            "node_id": name, "data_centre": data_centre, "region": "r1",
            "caller_listen": f"127.0.0.1:{caller}",
            "peer_listen": f"127.0.0.1:{peer}",
            "admin_listen": f"127.0.0.1:{admin}",
            "platform": f"127.0.0.1:{self.platform}",
            "peer_keys": ["a-shared-key-for-runs-on-loopback"],
            "bootstrap_token_sha256":
                hashlib.sha256(self.bootstrap_token.encode()).hexdigest(),
            **settings,
        }
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(values, indent=2))
        node = Node(name, [str(self.build / "apps/tanagerloomd"), "--settings",
                           str(path)], self.dir, caller, peer, admin)
        self.processes.append(node)
        self.nodes.append(node)
        self._wait_for_port(admin, name)
        self._register(name, "node", caller, peer_port=peer, admin_port=admin,
                       data_centre=data_centre)
        return node

    def ctl(self, *arguments: str, check=True) -> str:
        """Runs tanagerctl with these arguments and returns its output.

        Raises RuntimeError if it fails and `check` is set.
        """
        command = [str(self.build / "apps/tanagerctl"), *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=600,
                              stdin=subprocess.DEVNULL)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(command)}: exit {done.returncode}\n"
                               f"{done.stdout}{done.stderr}")
        return done.stdout

    def apply(self, path, token: str) -> str:
        """Applies a configuration file through the first node; returns the output."""
        return self.ctl("apply", str(path), "--node",
                        f"127.0.0.1:{self.nodes[0].admin}", "--token", token)

    def wait_ready(self, timeout=30):
        """Waits until every node is ready; raises RuntimeError after `timeout` seconds."""
        end = time.monotonic() + timeout
        for node in self.nodes:
            while True:
                try:
                    if call(node.admin, "GET", "/readyz")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"{node.name} is not ready; see {node.log}")
                time.sleep(0.05)

    def ledger(self, vm_id: str):
        """Returns the ledger of an engine or plain service."""
        port = self.engines.get(vm_id) or self.services[vm_id]
        return call_json(port, "GET", "/test/ledger")

    def counters(self):
        """Returns the call counters of the platform stand-in."""
        return call_json(self.platform, "GET", "/test/counters")

    def stop_nodes(self) -> dict[str, int]:
        """Stops every node gracefully; returns their exit statuses."""
        for node in self.nodes:
            node.popen.send_signal(signal.SIGTERM)
        return {node.name: node.popen.wait(60) for node in self.nodes}

    def stop_all(self):
        """Kills every process this object started, unless `keep` is set."""
        if self.keep:
            return
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
