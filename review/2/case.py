"""A request that is hidden in the body of another one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet  # noqa: E402

# Transfer codings whose last one is not `chunked`: the length of such a body is
# unknown (RFC 7230, section 3.3.3), and the request has to be refused with 400.
CODINGS = ["chunked, identity", "identity", "xchunked", "gzip"]
ROUNDS = 5
REPLY_S = 3.0


def hidden_request(attempt: str) -> bytes:
    return (f"POST /puxa403/hidden HTTP/1.1\r\nHost: ficu95.example\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n").encode()


def request(attempt: str, framing: str, body: bytes) -> bytes:
    return (f"POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: 1500\r\n{framing}\r\n\r\n").encode() + body


async def send(node, record, attempt: str, data: bytes) -> None:
    """Sends one request on a channel of its own and logs each answer on it."""
    reader, writer = await asyncio.open_connection(*node.front)
    writer.write(data)
    record.write(f"sent {attempt}: {len(data)} bytes")
    try:
        while (message := await asyncio.wait_for(fleet.read_message(reader), REPLY_S)) is not None:
            record.write(f"answer on the channel of {attempt}: {message.status}, "
                         f"Attempt-Id {message.header('Attempt-Id')}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"channel of {attempt}: {error!r}")
    finally:
        writer.close()


async def play(folder, record, trouble) -> bool:
    store = fleet.Store()
    await store.start()
    servers = [fleet.Server(store, record, f"i-{n}", "bookdesk") for n in range(3)]
    for it in servers:
        await it.start()
    await store.set("config", "main", fleet.plain_config())
    node = fleet.Node(folder, "front-chaguanas-1", "127.0.0.1", store)
    sent = set()
    try:
        await node.start()
        await node.await_ready()
        work = []
        for number in range(ROUNDS):
            for coding in CODINGS:
                attempt = f"outer-{coding.replace(', ', '-')}-{number}"
                sent.add(attempt)
                body = hidden_request(f"hidden-{coding.replace(', ', '-')}-{number}")
                # Without the disruption the same body comes with its length.
                framing = (f"Transfer-Encoding: {coding}" if trouble
                           else f"Content-Length: {len(body)}")
                work.append(send(node, record, attempt, request(attempt, framing, body)))
        await asyncio.gather(*work)
    finally:
        await node.end()
    # UNASKED: a server runs a request whose id no client sent, or one that was
    # smuggled inside another request, or with its body changed.
    runs = [it for server in servers for it in server.runs]
    smuggled = [it.header("Attempt-Id") for it in runs if it.header("Attempt-Id") not in sent]
    text = f"{len(sent)} requests sent, {len(runs)} run; run without being sent: {len(smuggled)}"
    record.write(text)
    print(text)
    if not trouble and len(runs) != len(sent):
        raise fleet.CannotRun("not all proper requests were run")
    return not smuggled


fleet.main(play)
