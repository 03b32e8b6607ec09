"""A stand-in for a model server that holds one model and loads adapters to
order, as PROTOCOL.md says (Requests, Model placement)."""

import asyncio
import json

from standins import Server, make_response, sealed

ADAPTER_LOAD_S = 0.009
# The report is refreshed when an order is accepted, and else at this interval.
REPORT_INTERVAL_S = 0.5
EVENT_INTERVAL_S = 0.1


class Engine(Server):
    def __init__(self, record, service, model, places, long_events):
        super().__init__(record, "i-1", "chaguanas", self.answer)
        self.service = service
        self.model = model
        self.places = places
        self.long_events = long_events
        self.adapters = []
        self.pending = []
        self.unloading = []  # Waits for the runs that use it.
        self.orders = 0
        self.holder = None
        self.report = None
        self.report_at = 0
        self.lose_answer_of = None
        self.overfilled = None
        self.running = {}  # The adapter that a run uses, by its Attempt-Id.

    async def start(self):
        await super().start()
        self.refresh_report()

    def held(self):
        return sorted(self.adapters + self.pending)

    def models(self):
        return [{"name": self.model, "version": 1,
                 "adapters": sorted(self.adapters)}]

    def refresh_report(self):
        self.report = {
            "stage": "both", "models": self.models(), "busy": False,
            "seq": self.orders, "queued": 0, "active": len(self.running),
            "kvUsed": 0, "kvTotal": 232000, "handles": 0, "born": self.born,
            "pending": ["%s/%s@1" % (self.model, it) for it in self.pending]}
        self.report_at = asyncio.get_running_loop().time()

    def description(self):
        """Returns the next description that the server reports of itself."""
        out = self.entry(self.service, 64)
        out["models"] = self.models()
        out["available"] = {"inMemory": [self.model], "onDisk": [self.model]}
        return out

    async def answer(self, method, target, fields, body, writer):
        loop = asyncio.get_running_loop()
        if target == "/tanagerloom/report":
            if loop.time() >= self.report_at + REPORT_INTERVAL_S:
                self.refresh_report()
            self.record.write("the server reports: seq %d, adapters %s, "
                              "pending %s" % (
                                  self.report["seq"],
                                  self.report["models"][0]["adapters"],
                                  self.report["pending"]))
            writer.write(make_response(
                200, [("Content-Type", "application/json")],
                json.dumps(self.report).encode()))
        elif target == "/tanagerloom/order":
            await self.take_order(json.loads(body), writer)
        else:
            await self.run_request(target, fields, writer)

    # ---- orders

    async def take_order(self, order, writer):
        adapter = order.get("adapter")
        self.record.write("the server gets the order %s" % json.dumps(order))
        if order.get("expect", self.orders) != self.orders:
            self.record.write("it answers 409: its seq is %d" % self.orders)
            writer.write(make_response(409))
            return
        if order["model"] != self.model or adapter is None:
            writer.write(make_response(400))
            return
        self.holder = order["holder"]
        if order["operation"] == "unload":
            self.unload(adapter, writer)
            return
        if adapter in self.held():
            writer.write(make_response(200))
            return
        self.orders += 1
        self.pending.append(adapter)
        self.refresh_report()
        if len(self.held()) > self.places:
            self.overfilled = self.held()
            self.record.write(
                "the server is ordered to hold %d adapters in %d places, and "
                "crashes: %s" % (len(self.held()), self.places, self.held()))
            self.exit()
            return
        asyncio.get_running_loop().call_later(
            ADAPTER_LOAD_S, self.finish_load, adapter)
        if adapter == self.lose_answer_of:
            self.lose_answer_of = None
            self.record.write("it accepts the order; its answer is lost")
            await asyncio.sleep(3600)
        writer.write(make_response(202))

    def finish_load(self, adapter):
        self.pending.remove(adapter)
        self.adapters.append(adapter)
        self.record.write("the server holds %d adapters" % len(self.adapters))

    def unload(self, adapter, writer):
        """Unloads an adapter at once if no request uses it, else as soon as its
        runs have finished."""
        self.orders += 1
        if adapter in self.running.values():
            self.unloading.append(adapter)
            self.record.write("it answers 202: the unload waits for the runs "
                              "that use the adapter")
            writer.write(make_response(202))
        else:
            self.adapters.remove(adapter)
            writer.write(make_response(200))
        self.refresh_report()

    # ---- requests

    async def run_request(self, target, fields, writer):
        attempt = fields.get("attempt-id", "")
        model, _, adapter = fields.get("model", "").partition("/")
        if model != self.model or (adapter and adapter not in self.adapters):
            writer.write(make_response(421, [("Not-Executed", "1")]))
            return
        if adapter in self.unloading:
            writer.write(make_response(503, [("Not-Executed", "1")]))
            return
        self.record.write("the server runs %s for %s" % (
            attempt, fields["model"]))
        self.running[attempt] = adapter
        try:
            head = ["HTTP/1.1 200 OK"]
            head += ["%s: %s" % it for it in sealed(
                fields, [("Content-Type", "text/event-stream"),
                         ("Transfer-Encoding", "chunked")])]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            events = self.long_events if target.endswith("/long") else 2
            for i in range(1, events + 1):
                event = b"id: %d\ndata: words\n\n" % i
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b"0\r\n\r\n")
        finally:
            del self.running[attempt]
            if adapter in self.unloading and (
                    adapter not in self.running.values()):
                self.unloading.remove(adapter)
                self.adapters.remove(adapter)
                self.record.write("the server has unloaded %s" % adapter)
