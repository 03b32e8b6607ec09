"""Stand-ins of clients, servers and the platform, and a harness for node processes.

Everything runs on loopback addresses in one asyncio loop; only the nodes are
processes of the project. The stand-ins follow the users' pages and do nothing
that these do not allow.
"""
import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/apps/tanagerloomd"
PREFIX = "/tanagerloom/objects/"
REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found",
           409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable"}
# Figures of the sheet of the small installation.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
          "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000,
          "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56,
          "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
          "fenceChecked": False, "leaseMs": 3000, "thawSlackMs": 300,
          "ceilingWindowS": 5, "ceilingFactor": 1.1}
LIMITS = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
          "linkMbps": 1000.0, "diskMb": 0}


class CannotRun(Exception):
    """The case could not be played: its outcome says nothing."""


def now() -> float:
    return time.monotonic()


def free_port(ip: str = "127.0.0.1") -> int:
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: str):
        self.started_at = now()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text: str) -> None:
        self.file.write(f"{now() - self.started_at:9.3f} {text}\n")
        self.file.flush()


# ---- HTTP/1.1


class Message:
    """A parsed request or response."""

    def __init__(self, first_line: str, headers: list[tuple[str, str]], body: bytes):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def method(self) -> str:
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is incomplete") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in it.split(":", 1)) for it in lines[1:] if it]
    return lines[0], headers


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length or in chunks; None at the end of the channel."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[0], head[1], b"")
    if "chunked" in (message.header("Transfer-Encoding") or "").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                break
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.header("Content-Length") or 0))
    return message


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---- the platform's store


class Store:
    """The platform's metadata store: objects by kind and name, with watches."""

    def __init__(self):
        self.revision = 100
        self.objects: dict[str, dict[str, tuple[int, object]]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Condition()
        self.address = ""
        self.listener = None
        self.channels: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens at a new address."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    async def move(self, after_s: float) -> None:
        """Serves at a new address too, and no longer at the old one `after_s` later."""
        old, channels = self.listener, self.channels
        self.channels = set()
        await self.start()

        async def leave() -> None:
            await asyncio.sleep(after_s)
            old.close()
            for it in channels:
                it.transport.abort()

        self.leaving = asyncio.create_task(leave())

    @staticmethod
    def _object(name: str, revision: int, spec: object) -> dict:
        return {"metadata": {"name": name, "revision": revision, "created": 1,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": None}

    async def set(self, kind: str, name: str, spec: object) -> dict:
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, spec)
        out = self._object(name, self.revision, spec)
        await self._publish(kind, out, False)
        return out

    async def erase(self, kind: str, name: str) -> None:
        if name not in self.objects.get(kind, {}):
            return
        _, spec = self.objects[kind].pop(name)
        self.revision += 1
        await self._publish(kind, self._object(name, self.revision, spec), True)

    async def _publish(self, kind: str, item: dict, removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        self.channels.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, out = await self._answer(request)
                writer.write(encode_response(status, {"Content-Type": "application/json"},
                                             json.dumps(out).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = urllib.parse.unquote(url.path).removeprefix(PREFIX).split("/")
        kind = path[0]
        objects = self.objects.setdefault(kind, {})
        if request.method == "GET" and len(path) == 1:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query)
        body = json.loads(request.body) if request.body else {}
        name = path[1] if len(path) > 1 else body["metadata"]["name"]
        known = objects.get(name)
        if request.method == "POST":
            if known:
                return 409, self._object(name, *known)
            return 201, await self.set(kind, name, body["spec"])
        if known is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision") or query.get("revision")
        if request.method != "GET" and expected and int(expected) != known[0]:
            return 409, self._object(name, *known)
        if request.method == "PUT":
            if known[1] == body["spec"]:
                return 200, self._object(name, *known)
            return 200, await self.set(kind, name, body["spec"])
        if request.method == "DELETE":
            await self.erase(kind, name)
            return 200, {}
        return 200, self._object(name, *known)

    def _list(self, kind: str, query: dict[str, str]) -> dict:
        items = [self._object(name, *it) for name, it in sorted(self.objects[kind].items())
                 if name > query.get("after", "")]
        return {"items": items, "morePages": False, "currentRev": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        since = int(query["watch"])
        until = now() + int(query.get("waitMs", "0")) / 1000

        def events():
            return [{"tombstone": removed, "object": item}
                    for revision, of, item, removed in self.history
                    if of == kind and revision > since]

        while not (out := events()) and now() < until:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                break
        return 200, {"events": out, "currentRev": self.revision}


# ---- servers


class Server:
    """A sound server of a plain service. `handle` may replace how it answers."""

    def __init__(self, store: Store, record: Record, name: str, service: str,
                 slots: int = 6, work_s: float = 0.03):
        self.store, self.record = store, record
        self.name, self.service, self.slots, self.work_s = name, service, slots, work_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.address = ""
        self.arrivals: list[Message] = []  # Clients' requests, also those that wait.
        self.runs: list[Message] = []
        self.running = asyncio.Semaphore(slots)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        await self.register()

    def entry(self) -> dict:
        return {"service": self.service, "address": self.address, "zone": "chaguanas",
                "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": self.seq, "born": self.born}

    async def register(self) -> None:
        self.seq += 1
        await self.store.set("servers", self.name, self.entry())

    def sealed(self, request: Message) -> dict[str, str]:
        return {"Attempt-Id": request.header("Attempt-Id") or "",
                "Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1"}

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
                if (request.header("Connection") or "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer) -> None:
        expected = request.header("Expect-Instance")
        if expected is not None and expected != self.name:
            writer.write(encode_response(421, {"Instance-Id": self.name}, b""))
            return
        if await self.answer_own_call(request, writer):
            return
        if request.header("Attempt-Id") is None:
            writer.write(encode_response(400, {"Not-Executed": "1"}, b""))
            return
        self.arrivals.append(request)
        async with self.running:
            self.runs.append(request)
            self.record.write(f"run {self.name} {request.header('Attempt-Id')} "
                              f"{request.first_line} body {len(request.body)}")
            await self.handle(request, writer)

    async def answer_own_call(self, request: Message, writer) -> bool:
        """Answers a call that is no client's request; False if it is one."""
        del request, writer
        return False

    async def handle(self, request: Message, writer) -> None:
        await asyncio.sleep(self.work_s)
        writer.write(encode_response(200, self.sealed(request), b"x" * 800))


class Engine(Server):
    """A model server: takes orders to load and unload models, and serves streams."""

    PIECES = 14

    def __init__(self, store: Store, record: Record, name: str, service: str, models: list[str],
                 on_disk: list[str], load_s: float = 0.5, pause_s: float = 0.03,
                 framed: bool = True):
        super().__init__(store, record, name, service, slots=64)
        self.models, self.on_disk, self.load_s = list(models), list(on_disk), load_s
        self.pause_s, self.framed = pause_s, framed
        self.accepted, self.busy = 0, False
        # Of each order: its time, the sender's IP address, holder, fence and status.
        self.orders: list[tuple[float, str, str, int, int]] = []

    def entry(self) -> dict:
        return {**super().entry(), "stage": "both", "models": self.models_json(),
                "available": {"inMemory": [], "onDisk": self.on_disk}}

    def models_json(self) -> list[dict]:
        return [{"name": it, "version": 1, "adapters": []} for it in sorted(self.models)]

    async def answer_own_call(self, request: Message, writer) -> bool:
        if request.target == "/tanagerloom/report":
            out = {"stage": "both", "models": self.models_json(), "busy": self.busy,
                   "seq": self.accepted, "queued": 0, "active": 0, "kvUsed": 0,
                   "kvTotal": 232000, "handles": 0, "born": self.born}
            writer.write(encode_response(200, {"Content-Type": "application/json"},
                                         json.dumps(out).encode()))
            return True
        if request.target == "/tanagerloom/order":
            order = json.loads(request.body)
            sender = writer.get_extra_info("peername")[0]
            status = self.take_order(order)
            self.orders.append((now(), sender, order["holder"], order["fence"], status))
            self.record.write(f"order to {self.name} from {sender} holder {order['holder']} "
                              f"fence {order['fence']} expect {order.get('expect')} "
                              f"{order['operation']} {order['model']} -> {status}")
            writer.write(encode_response(status, {}, b""))
            return True
        if request.header("Model") not in self.models:
            writer.write(encode_response(421, {"Instance-Id": self.name}, b""))
            return True
        return False

    def take_order(self, order: dict) -> int:
        if self.busy or order.get("expect", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(order))
        return 202

    async def carry_out(self, order: dict) -> None:
        load = order["operation"] == "load"
        await asyncio.sleep(self.load_s if load else 0.05)
        self.busy = False
        if load:
            self.models.append(order["model"])
            self.on_disk = sorted({*self.on_disk, order["model"]})
        else:
            self.models.remove(order["model"])
        await self.register()

    async def beat(self) -> None:
        """Checks in at the usual interval."""
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def handle(self, request: Message, writer) -> None:
        # An answer without a length ends with its channel.
        framing = "Transfer-Encoding: chunked\r\n" if self.framed else "Connection: close\r\n"
        head = [f"{key}: {value}" for key, value in self.sealed(request).items()]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) + "\r\nContent-Type: "
                      f"text/event-stream\r\n{framing}\r\n").encode())
        # A resumed stream goes on after the last event that the client has.
        first = int(request.header("Last-Event-Id") or 0) + 1
        for number in range(first, self.PIECES + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            data = (f"{len(event):x}\r\n".encode() + event + b"\r\n" if self.framed else event)
            # A piece may leave in two parts, as its tokens are made.
            for part in (data[:len(data) // 2], data[len(data) // 2:]):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(self.pause_s / 2)
        if self.framed:
            writer.write(b"0\r\n\r\n")

# ---- nodes


class Node:
    """One machine of the system: settings file, process, restarts."""

    def __init__(self, folder: str, name: str, ip: str, store: Store, log_to=None):
        self.name, self.ip, self.log_to = name, ip, log_to
        self.front = (ip, free_port(ip))
        self.ready = (ip, free_port(ip))
        self.settings = settings = {
            "nodeName": name, "role": "node", "machineClass": "front",
            "serves": ["front", "control"], "ip": ip, "zone": "chaguanas",
            "region": "tt-north", "zones": {"chaguanas": "tt-north"},
            "listen": {"front": f"{ip}:{self.front[1]}", "readyAddr": f"{ip}:{self.ready[1]}",
                       "control": f"{ip}:{free_port(ip)}"},
            "portRange": [free_port(ip)], "seeds": [], "bootstrap": True,
            "countsAsLoss": False, "limits": LIMITS, "dataDir": None,
            "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet",
                          "stream", "engine", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "minTtlMs": 1000}}
        self.path = pathlib.Path(folder) / f"{name}-{ip}.json"
        self.path.write_text(json.dumps(settings))
        self.log = pathlib.Path(folder) / f"{name}-{ip}.log"
        self.process = None

    async def start(self) -> None:
        program = REPOSITORY / PROGRAM
        if not program.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        out = self.log_to if self.log_to is not None else open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), "--platform-settings", str(self.path), cwd=REPOSITORY,
            stdout=out, stderr=asyncio.subprocess.DEVNULL)
        if self.log_to is None:
            out.close()

    def change_settings(self, store: Store) -> None:
        """Writes the store's address into the settings file and sends SIGHUP."""
        self.settings["platform"]["address"] = store.address
        self.path.write_text(json.dumps(self.settings))
        self.process.send_signal(signal.SIGHUP)

    async def is_ready(self) -> bool:
        """The platform's readiness check."""
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ready, "GET", "/tanagerloom/readiness", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def await_ready(self, limit_s: float = 15) -> None:
        until = now() + limit_s
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def end(self) -> None:
        if self.process is not None:
            self.kill()
            await self.process.wait()

    def memory_mb(self) -> float:
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0


# ---- clients


async def call(address: tuple[str, int], method: str, target: str, headers: dict[str, str],
               body: bytes = b"") -> tuple[int, Message, float]:
    """Sends one request on a new channel. Raises if there is no whole answer."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("the channel ended without an answer")
        return message.status, message, now()
    finally:
        writer.close()


def request_headers(attempt: str, deadline_ms: int, **more: str) -> dict[str, str]:
    return {"Host": "ficu95.example", "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms), **more}


def route(name: str, prefix: str, kind: str, service: str, timeout_ms: int, attempts: int,
          **more) -> dict:
    return {"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "goalMs": 100, "priority": 1, "service": service,
            "maxAttempts": attempts, **more}


def model(name: str) -> dict:
    return {"name": name, "weightsMb": 65500.0, "loadS": 6.0, "adapters": 0,
            "adapterMb": 40.0, "warmS": 0.38, "diskS": 1.0}


def engine_service(name: str, models: list[dict]) -> dict:
    return {"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kvCapacity": 232000, "kvTokenBytes": 327680,
                       "linkMbps": 1100000.0, "moves": True, "backups": True, "stride": 5,
                       "maxCount": 12, "hostMb": 130000.0, "diskMb": 1100000.0,
                       "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": models,
                       "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 3.8}}


CLIENT_LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                 "idleTimeoutMs": 15000}


def plain_config(version: int = 7) -> dict:
    """Bookings and look-ups at a plain service, with the figures of the sheet."""
    return {"version": version,
            "routes": [route("visit-dispatch", "/puxa403/", "non_idempotent", "bookdesk", 1500, 1),
                       route("stock-check", "/cufi504/", "idempotent", "bookdesk", 1500, 2)],
            "services": [{"name": "bookdesk", "healthPath": "/health", "maxConns": 110,
                          "protocol": "h1", "tls": False}],
            "limits": CLIENT_LIMITS}


# ---- running a case


def main(play) -> None:
    """Runs `play(folder, record, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.dirname(os.path.abspath(sys.argv[0])))
    record.write(f"trouble {int(trouble)}")

    async def run() -> bool:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            return await asyncio.wait_for(play(folder, record, trouble), 110)

    try:
        held = asyncio.run(run())
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:  # The case did not get as far as its check.
        record.write(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

