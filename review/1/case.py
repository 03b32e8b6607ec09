"""A node freezes for a short time while it relays streams."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet  # noqa: E402

SERVICE = "greenwriter"
MODEL = "daka510000"
STREAMS = 60           # At the node that freezes.
PIECES = 40
PAUSE_S = 0.1          # Between two pieces; the route's gapTargetMs is 400.
BETWEEN_STARTS_S = 0.015
FREEZE_AT_S = 1.0      # After the last start.
FREEZE_S = 2.5
# Clients leave after the longest of 2 s, 4 times goalMs and 8 times gapTargetMs.
CLIENT_GAP_S = 3.2


def config() -> dict:
    routes = [fleet.route("route-note", "/lohu930/", "streaming", SERVICE, 17000, 2,
                          resumable=True, sticky=True, gapTargetMs=400)]
    return {"version": 7, "routes": routes,
            "services": [fleet.engine_service(SERVICE, [fleet.model(MODEL)])],
            "limits": fleet.CLIENT_LIMITS}


class Stream:
    """One client's stream: the ids of its pieces, and how it ended."""

    def __init__(self, number: int):
        self.number = number
        self.attempt = f"s-{number}"
        self.text = b""
        self.end = "no answer"

    def ids(self) -> list[int]:
        return [int(it) for it in re.findall(rb"(?m)^id: (\d+)$", self.text)]

    def problem(self) -> str:
        """What ORDER calls broken; empty if nothing is."""
        ids = self.ids()
        if ids != list(range(1, len(ids) + 1)):
            return f"pieces {ids}"
        if self.end == "complete" and len(ids) != PIECES:
            return f"complete after {len(ids)} pieces of {PIECES}"
        expected = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in ids)
        return "" if self.text == expected else f"other bytes: {self.text!r}"

    async def run(self, node) -> None:
        reader, writer = await asyncio.open_connection(*node.front)
        headers = fleet.request_headers(
            self.attempt, 17000,
            **{"Model": MODEL, "Token-Count": "600,200",
               "Prompt-Prefix": f"{self.number:08x}:600"})
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
        try:
            writer.write(f"POST /lohu930/2f HTTP/1.1\r\n{lines}Content-Length: 0\r\n\r\n".encode())
            head = await asyncio.wait_for(fleet.read_head(reader), 6)
            if head is None or " 200 " not in head[0]:
                self.end = "refused" if head else "closed"
                return
            while True:
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), CLIENT_GAP_S)
                size = int(line, 16)
                data = await asyncio.wait_for(reader.readexactly(size + 2), CLIENT_GAP_S)
                self.text += data[:-2]
                if size == 0:
                    self.end = "complete"
                    return
        except asyncio.TimeoutError:
            self.end = "left after a long pause"
        except (OSError, asyncio.IncompleteReadError):
            self.end = "broken off"
        finally:
            writer.close()


async def play(folder, record, trouble) -> bool:
    store = fleet.Store()
    await store.start()
    fleet.Engine.PIECES = PIECES
    # One server sends its streams in chunks, the other one without a length.
    engines = [fleet.Engine(store, record, f"i-{name}", SERVICE, [MODEL], [MODEL],
                            pause_s=PAUSE_S, framed=name == "chunks")
               for name in ("chunks", "unframed")]
    for it in engines:
        await it.start()
    await store.set("config", "main", config())
    nodes = [fleet.Node(folder, f"front-chaguanas-{n}", "127.0.0.1", store) for n in range(3)]
    streams = [Stream(number) for number in range(STREAMS)]
    beats = [asyncio.create_task(it.beat()) for it in engines]
    try:
        for it in nodes:
            await it.start()
        for it in nodes:
            await it.await_ready()
        await asyncio.sleep(2)
        work = []
        for it in streams:
            work.append(asyncio.create_task(it.run(nodes[0])))
            await asyncio.sleep(BETWEEN_STARTS_S)
        await asyncio.sleep(FREEZE_AT_S)
        if trouble:
            record.write(f"{nodes[0].name} freezes")
            nodes[0].process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            nodes[0].process.send_signal(signal.SIGCONT)
            record.write(f"{nodes[0].name} wakes again")
        await asyncio.gather(*work)
    finally:
        for it in beats:
            it.cancel()
        for it in nodes:
            await it.end()
    ran_at = {it.header("Attempt-Id"): engine.name for engine in engines for it in engine.runs
              if it.header("Last-Event-Id") is None}
    ends: dict[str, int] = {}
    broken_at = {it.name: 0 for it in engines}
    for it in streams:
        ends[it.end] = ends.get(it.end, 0) + 1
        problem = it.problem()
        if problem:
            broken_at[ran_at[it.attempt]] += 1
        record.write(f"{it.attempt}: {it.end}; {len(it.ids())} pieces {problem}")
    broken = sum(broken_at.values())
    text = (f"{STREAMS} streams: {ends}; with missing, repeated or spoilt pieces: {broken} "
            f"(by the server that ran them first: {broken_at})")
    record.write(text)
    print(text)
    if ends.get("complete", 0) == 0:
        raise fleet.CannotRun("no stream was served")
    return broken == 0


fleet.main(play)
