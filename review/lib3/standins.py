"""Small stand-ins for the platform, servers and clients of a deployment.

They speak what PROTOCOL.md says, on loopback addresses and the real clock, and
are used by the scripts of the cases 11 to 15.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE_PROGRAM = os.path.join("target", "apps", "tanagerloomd")

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable"}


class CaseNotRun(Exception):
    """The case could not be brought about, so it shows nothing."""


def trouble():
    """Returns whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message. Returns its first line and its fields, by
    name in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body that has a length or comes in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(fields.get("content-length", "0")))


def make_response(status, fields=(), body=b""):
    out = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    out += ["%s: %s" % it for it in fields]
    out.append("Content-Length: %d" % len(body))
    return ("\r\n".join(out) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists
    and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.oldest_revision = 0  # The oldest that a watch may start from.
        self.changed = asyncio.Event()
        self.address = None
        self.era = None  # If set, all answers state it.
        self.away = False
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def get(self, kind, name):
        return self.objects.get(kind, {}).get(name)

    def put(self, kind, name, spec):
        """Writes an object; used by the operator and the servers."""
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": {}}
        self.objects.setdefault(kind, {})[name] = item
        self._publish(kind, item, False)
        return item

    def check_in(self, server, entry):
        """Writes a server's entry. It changes when more than `seq` does."""
        known = self.get("servers", server)
        if known is None or {**known["spec"], "seq": 0} != {**entry, "seq": 0}:
            self.put("servers", server, entry)

    def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self._publish(kind, item, True)
        return item

    def make_copy(self):
        return self.revision, json.loads(json.dumps(self.objects))

    def go_away(self):
        """Is away until `come_back`: channels break and new ones are closed."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self, copy):
        """Comes back from a copy. Revisions after that of the copy are given
        out again."""
        self.revision, objects = copy
        self.objects = json.loads(json.dumps(objects))
        self.history = []
        self.oldest_revision = self.revision
        self.era += 1
        self.away = False

    def _publish(self, kind, item, tombstone):
        event = {"object": json.loads(json.dumps(item)),
                 "tombstone": tombstone}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.away:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body)
                extra = [("Content-Type", "application/json")]
                if self.era is not None:
                    extra.append(("Store-Era", str(self.era)))
                writer.write(make_response(
                    status, extra,
                    json.dumps(answer, separators=(",", ":")).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = urllib.parse.unquote(url.path).split("/")[3:]
        if len(parts) == 1 and method == "GET":
            if "watch" in query:
                return await self._watch(parts[0], query)
            items = sorted(self.objects.get(parts[0], {}).values(),
                           key=lambda it: it["metadata"]["name"])
            return 200, {"items": items, "morePages": False,
                         "currentRev": self.revision}
        if method == "GET":
            item = self.get(parts[0], parts[1])
            return (200, item) if item else (404, {"error": "no object"})
        if method in ("POST", "PUT"):
            return self._write(method, parts, json.loads(body))
        if method == "DELETE" and self.get(parts[0], parts[1]):
            return 200, self.remove(parts[0], parts[1])
        return 404, {"error": "no object"}

    def _write(self, method, parts, body):
        name = body["metadata"]["name"] if method == "POST" else parts[1]
        known = self.get(parts[0], name)
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {"error": "no object"}
        revision = body.get("metadata", {}).get("revision")
        if known and revision not in (None, known["metadata"]["revision"]):
            return 409, known
        return (201 if method == "POST" else 200), self.put(
            parts[0], name, body["spec"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        if not self.oldest_revision <= since <= self.revision:
            return 410, {"error": "no such history"}
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [event for revision, of_kind, event in self.history
                      if of_kind == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A plain server of a service. `handle` is a coroutine that gets the
    method, the target, the fields, the body and the writer of a request that
    names this server, and answers it."""

    def __init__(self, record, name, zone, handle):
        self.record = record
        self.name = name
        self.zone = zone
        self.handle = handle
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.address = None
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % (
            self.server.sockets[0].getsockname()[1])

    async def restart(self):
        """Starts again at the same address and under the same id."""
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.born = int(time.time() * 1000)
        self.seq = 0

    def entry(self, service, slots, state="ready"):
        """Returns the next description that the server reports of itself."""
        self.seq += 1
        return {"service": service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": slots,
                "state": state, "coldLeftMs": 0, "born": self.born,
                "seq": self.seq}

    def exit(self):
        """Ends the server: its channels break and its port is closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                if fields.get("expect-instance", self.name) != self.name:
                    writer.write(make_response(421, [("Not-Executed", "1")]))
                else:
                    await self.handle(method, target, fields, body, writer)
                await writer.drain()
                if fields.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def sealed(fields, extra=()):
    """Returns the fields that mark an answer as that of a server."""
    return [("Attempt-Id", fields.get("attempt-id", "")),
            ("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")] + list(extra)


class Node:
    """One machine of the system, run by the command of the deploy file."""

    def __init__(self, folder, name, ip, zone, ports, store, settings=None):
        self.name = name
        self.ip = ip
        self.front = "%s:%d" % (ip, ports["front"])
        self.ready = "%s:%d" % (ip, ports["ready"])
        self.settings = make_settings(name, ip, zone, ports, store)
        for key, value in (settings or {}).items():
            self.settings[key].update(value)
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [NODE_PROGRAM, "--platform-settings", self.path],
                cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status = await ask_ready(self.ready)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseNotRun(self.name + " is not ready")


async def ask_ready(address):
    """Returns the status of the readiness call; 0 without an answer."""
    try:
        answer = await request(address, "GET", "/tanagerloom/readiness", [],
                               timeout=1)
        return answer["status"]
    except (OSError, asyncio.TimeoutError):
        return 0


def make_settings(name, ip, zone, ports, store):
    return {
        "nodeName": name, "role": "node", "machineClass": "front",
        "serves": ["front", "control"], "ip": ip, "zone": zone,
        "region": "tt-north",
        "portRange": [ports["inner"], ports["inner"] + 15],
        "seeds": [], "bootstrap": True, "countsAsLoss": False,
        "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                      "fleet", "stream", "engine", "platform"],
        "zones": {"chaguanas": "tt-north", "arima": "tt-north"},
        "listen": {"front": "%s:%d" % (ip, ports["front"]),
                   "readyAddr": "%s:%d" % (ip, ports["ready"]),
                   "control": "%s:%d" % (ip, ports["control"])},
        "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                   "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
        "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000,
                   "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
                   "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
                   "rollbackSlackMs": 250, "stretchMs": 5000,
                   "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56,
                   "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
                   "fenceChecked": False, "leaseMs": 3000,
                   "thawSlackMs": 300, "ceilingWindowS": 5,
                   "ceilingFactor": 1.1},
        "platform": {"address": store, "form": "objects", "writesPerS": 400,
                     "readsPerS": 2000, "historyS": 20,
                     "valueBytes": 1048576, "minTtlMs": 1000},
    }


def free_ports():
    """Returns ports that are free on all loopback addresses."""
    out = {}
    held = []
    for name in ("front", "ready", "control", "inner"):
        sock = socket.socket()
        sock.bind(("0.0.0.0", 0))
        out[name] = sock.getsockname()[1]
        held.append(sock)
    for sock in held:
        sock.close()
    return out


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


def make_request(method, target, fields, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % it for it in fields]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def request(address, method, target, fields, body=b"", timeout=10):
    """Sends one request on a new channel and returns its answer: the status,
    the fields and the body. The status is 0 if the channel ends without one."""
    async def exchange():
        reader, writer = await connect(address)
        try:
            writer.write(make_request(method, target, fields, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return {"status": 0, "fields": {}, "body": b""}
            status = int(head[0].split(" ")[1])
            try:
                content = await read_body(reader, head[1])
            except (asyncio.IncompleteReadError, ValueError):
                return {"status": 0, "fields": head[1], "body": b""}
            return {"status": status, "fields": head[1], "body": content}
        except ConnectionError:
            return {"status": 0, "fields": {}, "body": b""}
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def route(name, kind, service, timeout_ms, attempts=2, **more):
    out = {"name": name, "host": "ficu95.example",
           "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
           "timeoutMs": timeout_ms, "goalMs": 100, "priority": 0,
           "maxAttempts": attempts}
    out.update(more)
    return out


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def run_case(case, folder, limit_s=110):
    """Runs `case(record, scratch_folder, nodes)` and exits with its result. The
    nodes that it adds to the list are ended, whatever happens."""
    record = Record(os.path.join(folder, "record.txt"))
    nodes = []
    code = EXIT_NOT_RUN
    loop = asyncio.new_event_loop()
    # The nodes are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            if not os.path.exists(os.path.join(REPOSITORY, NODE_PROGRAM)):
                raise CaseNotRun("the program is not built")
            held = loop.run_until_complete(asyncio.wait_for(
                case(record, scratch, nodes), limit_s))
            code = EXIT_HELD if held else EXIT_BROKEN
        except (CaseNotRun, OSError, asyncio.TimeoutError,
                SystemExit) as error:
            record.write("the case could not run: %r" % (error,))
        finally:
            for node in nodes:
                node.kill()
                if os.environ.get("KEEP_LOGS"):
                    with open(node.log_path, "rb") as log:
                        sys.stderr.buffer.write(log.read())
    record.write("result: %s" % {EXIT_HELD: "held", EXIT_BROKEN: "broken",
                                 EXIT_NOT_RUN: "not run"}[code])
    sys.stderr.flush()
    # Ends the tasks of the stand-ins with the process.
    os._exit(code)
