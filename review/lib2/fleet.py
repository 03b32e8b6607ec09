"""Stand-ins for the platform's store, servers and clients, and the process of
a node, for the cases of the second review. Everything is on loopback
addresses and the real clock; nothing but Python's standard library is used."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "apps", "tanagerloomd")
HEARTBEAT_MS = 1200
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000,
    "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "recoveryS": 12,
    "passMs": 120, "retryAfterS": 0, "fenceChecked": False, "leaseMs": 3000,
    "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingFactor": 1.1}
VALUE_BYTES = 1048576
MAX_SECONDS = 110       # of one run of a case

_held = []


def free_port():
    """Returns a free port; the socket is kept bound, so that no other call of
    this process gets the same one, until release_ports()."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _held.append(sock)
    return sock.getsockname()[1]


def release_ports():
    while _held:
        _held.pop().close()


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class HttpError(Exception):
    pass


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        if it:
            name, _, value = it.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    out = "HTTP/1.1 %d X\r\n" % status
    for name, value in (headers or {}).items():
        out += "%s: %s\r\n" % (name, value)
    out += "Content-Length: %d\r\n\r\n" % len(body)
    return out.encode("latin-1") + body


class Listener:
    """An HTTP server on loopback; a subclass defines answer()."""

    def __init__(self):
        self.writers = set()
        self.servers = []

    async def listen(self, port):
        self.servers.append(
            await asyncio.start_server(self.serve, "127.0.0.1", port))

    async def close(self):
        for it in self.servers:
            it.close()
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                out = await self.answer(port, method, target, headers, body)
                if out is None:
                    break
                writer.write(out)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, HttpError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's store, in the form `objects`. Each node has a port of its
    own, so that the store can reject one node and serve the others."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 100
        self.oldest = 100
        self.era = None
        self.away = False        # no answer but 503, to everybody
        self.rejected = set()    # ports of the nodes that get 503

    # What the operator and the servers write.

    async def put(self, kind, name, spec):
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, spec)
        self.history.append((self.revision, kind, name, spec, False))

    async def remove(self, kind, name):
        if name not in self.objects.get(kind, {}):
            return False
        self.revision += 1
        del self.objects[kind][name]
        self.history.append((self.revision, kind, name, None, True))
        return True

    def copy(self):
        return ({k: dict(v) for k, v in self.objects.items()}, self.revision)

    async def restore(self, copy):
        """Comes back from a copy: what was written since is gone, revisions go
        back, and the era rises by one."""
        self.objects = {k: dict(v) for k, v in copy[0].items()}
        self.revision = copy[1]
        self.oldest = self.revision
        self.history = []
        self.era += 1

    # What nodes call.

    def reply(self, status, body=None):
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = self.era
        text = json.dumps(body if body is not None else {},
                          separators=(",", ":"))
        return response(status, headers, text.encode())

    @staticmethod
    def object(name, revision, spec):
        return {"metadata": {"name": name, "revision": revision, "created": 1,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": None}

    def refuses(self, port):
        return self.away or port in self.rejected

    async def answer(self, port, method, target, headers, body):
        if self.refuses(port):
            return self.reply(503)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        rest = urllib.parse.unquote(path)[len("/tanagerloom/objects/"):]
        kind, _, name = rest.partition("/")
        kept = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            if name not in kept:
                return self.reply(404)
            return self.reply(200, self.object(name, *kept[name]))
        if method == "GET" and "watch" in query:
            return await self.watch(port, kind, query)
        if method == "GET":
            items = [self.object(n, *kept[n]) for n in sorted(kept)]
            return self.reply(200, {"items": items, "morePages": False,
                                    "currentRev": self.revision})
        if method == "DELETE":
            return self.reply(200 if await self.remove(kind, name) else 404)
        message = json.loads(body)
        name = name or message["metadata"]["name"]
        if method == "POST":
            if name in kept:
                return self.reply(409, self.object(name, *kept[name]))
        elif name not in kept:
            return self.reply(404)
        elif message["metadata"].get("revision", kept[name][0]) != kept[name][0]:
            return self.reply(409, self.object(name, *kept[name]))
        if name not in kept or kept[name][1] != message["spec"]:
            await self.put(kind, name, message["spec"])
        return self.reply(200, self.object(name, *self.objects[kind][name]))

    async def watch(self, port, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        era = self.era
        while True:
            if self.refuses(port):
                return self.reply(503)
            if self.era != era or since < self.oldest or since > self.revision:
                return self.reply(410)
            events = [{"tombstone": gone, "object": self.object(n, r, spec)}
                      for r, k, n, spec, gone in self.history
                      if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return self.reply(200, {"events": events,
                                        "currentRev": self.revision})
            await asyncio.sleep(min(left, 0.01))


class Server(Listener):
    """A server of a service. Registers itself in the store under its id. With
    models it is a model server."""

    def __init__(self, store, record, server_id, service, slots=6, models=None,
                 work_s=0.015):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.service, self.slots = server_id, service, slots
        self.models = models
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.busy = False
        self.adapters = {"a%d" % (n + 1) for n in range(4)}
        self.weights_mb = {}    # of each model that the server can load
        self.capacity_mb = 0
        self.load_s = 1.0
        self.overloads = []     # (time, MB) of orders beyond the capacity
        self.runs = []      # (time, attempt id)
        self.orders = []    # (time, body)
        self.port = None

    async def start(self, port):
        self.port = port
        await self.listen(port)
        await self.register()

    def entry(self):
        out = {"service": self.service, "address": "127.0.0.1:%d" % self.port,
               "zone": "chaguanas", "version": "v1", "slots": self.slots,
               "state": "ready", "coldLeftMs": 0, "born": self.born, "seq": 1}
        if self.models is not None:
            out["models"] = self.model_list()
            out["available"] = {"inMemory": [], "onDisk": sorted(self.weights_mb)}
        return out

    def model_list(self):
        return [{"name": n, "version": 1, "adapters": sorted(a)}
                for n, a in sorted(self.models.items())]

    async def register(self):
        await self.store.put("servers", self.id, self.entry())

    async def answer(self, port, method, target, headers, body):
        expected = headers.get("expect-instance")
        if expected not in (None, self.id):
            return response(421, {"Instance-Id": self.id})
        path = target.partition("?")[0]
        if path == "/tanagerloom/report":
            return response(200, {"Content-Type": "application/json"},
                            json.dumps({
                                "stage": "both", "models": self.model_list(),
                                "busy": self.busy, "seq": self.seq, "queued": 0,
                                "active": self.running, "kvUsed": 0,
                                "kvTotal": 232000, "handles": 0,
                                "born": self.born}).encode())
        if path == "/tanagerloom/order":
            return self.order(json.loads(body))
        return await self.run(method, target, headers, body)

    def order(self, order):
        self.orders.append((self.record.now(), order))
        self.record.line("server %s got the order %s" %
                         (self.id, json.dumps(order)[:160]))
        if self.busy or order.get("expect", self.seq) != self.seq:
            return response(409)
        model, adapter = order["model"], order.get("adapter")
        if adapter is None:
            return self.model_order(order["operation"], model)
        if model not in self.models or adapter not in self.adapters:
            return response(400)  # the order does not exist
        self.seq += 1
        if order["operation"] == "load":
            self.models[model].add(adapter)
        else:
            self.models[model].discard(adapter)
        return response(202)

    def model_order(self, operation, model):
        if model not in self.weights_mb:
            return response(400)
        load = operation == "load"
        if load == (model in self.models):
            return response(200)
        self.seq += 1
        if not load:
            self.busy = True
            asyncio.get_running_loop().call_later(0.1, self.unloaded, model)
            return response(202)
        needed = self.weights_mb[model] + sum(
            self.weights_mb[it] for it in self.models)
        self.record.line("server %s is to hold %d of %d MB: %s and %s" % (
            self.id, needed, self.capacity_mb, " ".join(sorted(self.models)),
            model))
        if needed > self.capacity_mb:
            self.overloads.append((self.record.now(), needed))
            asyncio.get_running_loop().create_task(self.crash())
            return response(202)
        self.busy = True
        asyncio.get_running_loop().call_later(self.load_s, self.loaded, model)
        return response(202)

    def loaded(self, model):
        self.busy = False
        self.models[model] = set()
        asyncio.get_running_loop().create_task(self.register())

    def unloaded(self, model):
        self.busy = False
        self.models.pop(model, None)
        asyncio.get_running_loop().create_task(self.register())

    async def crash(self):
        self.record.line("server %s CRASHES: it was ordered to load more than "
                         "it holds" % self.id)
        await self.close()

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    async def run(self, method, target, headers, body):
        attempt = headers.get("attempt-id", "")
        model = headers.get("model")
        if self.models is not None and model is not None:
            name, _, adapter = model.partition("/")
            if name not in self.models or (
                    adapter and adapter not in self.models[name]):
                return response(421, {"Not-Executed": "1"})
        if self.running >= self.slots:
            return response(503, {"Not-Executed": "1"})
        self.running += 1
        self.runs.append((self.record.now(), attempt))
        self.record.line("server %s runs %s" % (self.id, attempt))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers = {"Attempt-Id": attempt, "Response-Seal": "seal." + attempt,
                   "Server-Load": self.load()}
        if self.models is not None:
            headers["Content-Type"] = "text/event-stream"
            headers["Weight-Versions"] = 1
            return response(200, headers, b"id: 1\ndata: done\n\n")
        return response(200, headers, b"done")


class Node:
    """One process of the project, started as the deploy file says. As the
    platform does, it is started again after it has ended by itself."""

    RESTART_DELAY_S = 2.0

    def __init__(self, folder, record, name, store_port):
        self.folder, self.record, self.name = folder, record, name
        self.front, self.ready = free_port(), free_port()
        self.control, self.peer = free_port(), free_port()
        self.store_port = store_port
        self.ends = []          # times at which the process ended by itself
        self.process = None
        self.stopping = False

    def settings(self):
        return {
            "nodeName": self.name, "role": "node", "machineClass": "front",
            "serves": ["front", "control"], "ip": "127.0.0.1",
            "zone": "chaguanas", "region": "tt-north",
            "portRange": [self.peer, self.peer],
            "seeds": ["127.0.0.1:%d" % self.control], "bootstrap": True,
            "countsAsLoss": False, "discovery": "platform", "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS, "zones": {"chaguanas": "tt-north"},
            "listen": {"front": "127.0.0.1:%d" % self.front,
                       "readyAddr": "127.0.0.1:%d" % self.ready,
                       "control": "127.0.0.1:%d" % self.control},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": "127.0.0.1:%d" % self.store_port,
                         "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20,
                         "valueBytes": VALUE_BYTES, "minTtlMs": 1000}}

    async def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--platform-settings", path, cwd=ROOT, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record.line("%s starts, process %d" % (self.name,
                                                    self.process.pid))

    async def keep_running(self):
        """Starts the process again, a moment after it has ended by itself."""
        while not self.stopping:
            process = self.process
            status = await process.wait()
            if self.stopping:
                return
            self.ends.append(self.record.now())
            self.record.line("%s ENDED BY ITSELF, status %d" % (self.name,
                                                               status))
            await asyncio.sleep(self.RESTART_DELAY_S)
            await self.start()

    async def await_ready(self, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            status, _ = await call(self.ready, "GET",
                                   "/tanagerloom/readiness", {}, timeout=1)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), "rb") as file:
            return file.read().decode("utf-8", "replace")


async def call(port, method, target, headers, body=b"", timeout=10.0,
               more_fields=b""):
    """Sends one request on a new channel. Returns the status and the body, or
    0 and the kind of failure."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 1.0)
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        headers = dict(headers)
        headers.setdefault("Host", "ficu95.example")
        if body or method == "POST":
            headers["Content-Length"] = len(body)
        raw = head.encode()
        for name, value in headers.items():
            value = value if isinstance(value, bytes) else str(value).encode()
            raw += name.encode() + b": " + value + b"\r\n"
        writer.write(raw + more_fields + b"\r\n" + body)
        await writer.drain()
        line, _, answer = await asyncio.wait_for(read_message(reader), timeout)
        return int(line.split(" ")[1]), answer
    except asyncio.TimeoutError:
        return 0, b"timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


def plain_route(name, service, prefix, kind="idempotent", **more):
    return dict({"name": name, "host": "ficu95.example", "pathPrefix": prefix,
                 "kind": kind, "timeoutMs": 800, "goalMs": 100, "priority": 2,
                 "maxAttempts": 2, "service": service}, **more)


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def run_case(folder, body):
    """Runs the coroutine `body(record, temporary folder)` and exits with its
    status; 2 if the case could not run."""
    if not os.access(DAEMON, os.X_OK):
        print("not built: " + DAEMON)
        raise SystemExit(2)
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-2-")

    async def run():
        # A stopped case ends the processes that it started.
        task = asyncio.create_task(body(record, temporary))
        for it in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(it, task.cancel)
        return await asyncio.wait_for(task, MAX_SECONDS)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.line("the case could not run: %r" % error)
        status = 2
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.line("result %d" % status)
    print("result %d" % status)
    raise SystemExit(status)


class Bookings:
    """Clients that send bookings, each on a channel of its own that it keeps.
    Judges them by RULES.md, LOST: "At any time, a machine in touch passes a
    request from a kept channel on to a sound server and closes that channel
    without an answer, more than three times." """

    ALLOWED = 3
    MAX_PAUSE_S = 0.1

    def __init__(self, record, nodes, sound_servers, clients_per_node):
        self.record, self.nodes = record, nodes
        self.sound_servers = sound_servers
        self.clients_per_node = clients_per_node
        self.stopped = False
        self.counts = {}        # answers by status
        self.cut = []           # (node, attempt) without an answer
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(self.client(node, "book-%s-%d" % (node.name, n)))
            for node in self.nodes for n in range(self.clients_per_node)]

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)

    async def client(self, node, name):
        number = 0
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1",
                                                               node.front)
            except OSError:
                await asyncio.sleep(self.MAX_PAUSE_S)
                continue
            kept = False
            try:
                while not self.stopped:
                    number += 1
                    attempt = "%s-%d" % (name, number)
                    close = await self.book(reader, writer, attempt)
                    kept = True
                    if close:
                        break
                    await asyncio.sleep(random.uniform(0, self.MAX_PAUSE_S))
            except (OSError, asyncio.IncompleteReadError):
                self.record.line("the channel of %s ends without an answer" %
                                 attempt)
                if kept:
                    self.cut.append((node, attempt))
            finally:
                writer.close()

    async def book(self, reader, writer, attempt):
        writer.write(("POST /book/x HTTP/1.1\r\nHost: ficu95.example\r\n"
                      "Attempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
                      "Content-Length: 5\r\n\r\nvisit" % attempt).encode())
        await writer.drain()
        line, headers, _ = await read_message(reader)
        status = int(line.split(" ")[1])
        self.counts[status] = self.counts.get(status, 0) + 1
        if status != 200:
            self.record.line("client got %d for %s" % (status, attempt))
        return headers.get("connection", "").lower() == "close"

    def breaks_lost(self):
        """Records the lost bookings. Returns whether they break the rule."""
        ran = {attempt for server in self.sound_servers
               for _, attempt in server.runs}
        self.record.line("bookings by status: %s" % self.counts)
        broken = False
        for node in self.nodes:
            lost = [attempt for it, attempt in self.cut
                    if it is node and attempt in ran]
            self.record.line("%s passed %d bookings of kept channels on to a "
                             "sound server and closed the channel without an "
                             "answer; %d are allowed" %
                             (node.name, len(lost), self.ALLOWED))
            broken = broken or len(lost) > self.ALLOWED
        return broken


# RULES.md, Fault: "if on a tenth of the machines in use (two at least)
# processes end by themselves three times in the day".
MIN_FAULT_MACHINES = 2
MIN_FAULT_ENDS = 3


def breaks_fault(record, nodes):
    """Records how often the processes ended by themselves, and returns whether
    that breaks the rule Fault."""
    for node in nodes:
        record.line("%s ended by itself %d times: %s" % (
            node.name, len(node.ends),
            " ".join("%.1f" % it for it in node.ends)))
        said = {}
        for it in node.log_text().splitlines():
            it = it.strip()
            if it.startswith(("terminate called", "what():",
                              "invariant violated")):
                said[it[:160]] = said.get(it[:160], 0) + 1
        for text, count in said.items():
            record.line("%s said %d times: %s" % (node.name, count, text))
    often = [it for it in nodes if len(it.ends) >= MIN_FAULT_ENDS]
    broken = len(often) >= max(MIN_FAULT_MACHINES, len(nodes) / 10)
    record.line("Fault: %s" % ("broken" if broken else "held"))
    return broken


def memory_mb(pid):
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        with open("/proc/%d/status" % pid) as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def guard_memory(record, node, peak):
    """Kills the process when it exceeds `memoryMb`, as the platform does."""
    limit = node.settings()["limits"]["memoryMb"]
    while not node.stopping:
        process = node.process
        used = memory_mb(process.pid) if process.returncode is None else 0
        peak[node.name] = max(peak.get(node.name, 0), used)
        if used > limit:
            record.line("%s uses %d MB of %d and is killed" %
                        (node.name, used, limit))
            process.kill()
            await process.wait()
        await asyncio.sleep(0.05)
