"""Clients take their streams up again after the loss of all nodes, while two versions serve."""

import asyncio
import contextlib
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    Answer,
    Engine,
    Record,
    Request,
    World,
    ask,
    configuration,
    entry,
    message,
    request_headers,
    route,
    run_case,
)

NODES = 3
# Versions of the engines' software, one engine each.
VERSIONS = ("v1", "v1", "v2", "v2")
# Events of a stream, and seconds between two.
EVENTS, PAUSE_S = 30, 0.2
# Streams that are taken up, and new ones that begin beside them.
STREAMS = 24
TIMEOUT_MS = 12000
SETTLE_S = 5.0
# Seconds after the begin of the streams at which all nodes are killed, or their clients leave.
BREAK_AT_S = 1.5
# Seconds after which the platform starts a killed process again.
RESTART_AFTER_S = 0.5
# Seconds for which the nodes have been running when the streams are taken up: then in touch.
IN_TOUCH_S = BOUNDS["contactMs"] / 1000 + 0.5
# Tries to take a stream up, and the longest pause between two, in seconds.
TRIES, LONGEST_PAUSE_S = 3, 1.0


@dataclass
class Stream:
    """A stream as its client has it: the first request's id, and the last event's."""

    first_id: str
    last_event: int = 0

    def take(self, data: bytes) -> None:
        """Take whole events, each of which comes in one piece."""
        for line in data.decode().splitlines():
            if line.startswith("id: "):
                self.last_event = int(line.removeprefix("id: "))


async def write_stream(engine: Engine, request: Request, writer: asyncio.StreamWriter) -> None:
    """Send the events that are due, in chunks."""
    headers = {
        "Request-Id": request.id,
        "Response-Signature": f"sig-{engine.name}",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    writer.write(message("HTTP/1.1 200 OK", headers))
    for number in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
        await asyncio.sleep(PAUSE_S)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def send(
    world: World, number: int, headers: dict[str, object], stream: Stream
) -> Answer | None:
    """Send a request of a stream to a node; return None if the connection ended without a head."""
    front = world.nodes[number % NODES].front
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        return await ask(
            front, "POST", "/match/x", headers, b"p", TIMEOUT_MS / 1000, on_data=stream.take
        )
    return None


async def take_up(world: World, number: int, stream: Stream, record: Record) -> bool:
    """Take a stream up again, as often as a client does; return whether it went on to its end."""
    for attempt in range(TRIES):
        request_id = f"{stream.first_id}-again-{attempt}"
        headers = request_headers(request_id, TIMEOUT_MS)
        headers |= {"Last-Event-Id": stream.last_event, "Resumes": stream.first_id}
        record.write(f"client takes {stream.first_id} up behind event {stream.last_event}")
        answer = await send(world, number + attempt, headers, stream)
        status = answer.status if answer is not None else "no answer"
        record.write(f"client got {status} for {request_id}")
        if answer is not None and answer.status == 200:
            return answer.is_whole and stream.last_event == EVENTS
        if answer is not None and "retry-after" in answer.headers:
            await asyncio.sleep(min(LONGEST_PAUSE_S, float(answer.headers["retry-after"])))
    return False


async def begin(world: World, number: int, record: Record) -> bool:
    """Begin a new stream; return whether it began."""
    stream = Stream(f"new-{number}")
    answer = await send(world, number, request_headers(stream.first_id, TIMEOUT_MS), stream)
    status = answer.status if answer is not None else "no answer"
    record.write(f"client got {status} for {stream.first_id}")
    return answer is not None and answer.status == 200


async def break_all(world: World, running: list[asyncio.Task], has_trouble: bool) -> None:
    """Kill all nodes at once and start them again; without trouble, the clients leave."""
    if not has_trouble:
        for task in running:
            task.cancel()
        return
    for node in world.nodes:
        node.signal(signal.SIGKILL)
    for node in world.nodes:
        await node.wait_ended()
    await asyncio.sleep(RESTART_AFTER_S)
    for node in world.nodes:
        node.start()
    while not all([await node.is_ready() for node in world.nodes]):
        await asyncio.sleep(0.05)


async def case(world: World, record: Record, has_trouble: bool) -> bool:
    """Return whether streams went on less than half as often as new ones began."""
    await world.add_engines("model", len(VERSIONS))
    for engine, version in zip(world.engines, VERSIONS, strict=True):
        engine.answer = lambda req, writer, engine=engine: write_stream(engine, req, writer)
        await world.store.put("servers", engine.name, entry(engine) | {"version": version})
    match = route("match", "streaming", "model", resumable=True, timeoutMs=TIMEOUT_MS)
    await world.store.put("op", "config", configuration(3, [match], ["model"]))
    await world.start_nodes(NODES)
    await asyncio.sleep(SETTLE_S)
    streams = [Stream(f"r{number}") for number in range(STREAMS)]
    running = [
        asyncio.ensure_future(
            send(world, number, request_headers(stream.first_id, TIMEOUT_MS), stream)
        )
        for number, stream in enumerate(streams)
    ]
    record.write(f"{STREAMS} streams begin")
    await asyncio.sleep(BREAK_AT_S)
    await break_all(world, running, has_trouble)
    record.write("all nodes run again" if has_trouble else "all clients have left")
    await asyncio.gather(*running, return_exceptions=True)
    await asyncio.sleep(IN_TOUCH_S)
    broken = [each for each in streams if 0 < each.last_event < EVENTS]
    again = [
        asyncio.ensure_future(take_up(world, number, stream, record))
        for number, stream in enumerate(broken)
    ]
    new = [asyncio.ensure_future(begin(world, number, record)) for number in range(STREAMS)]
    gone_on, begun = Counter(await asyncio.gather(*again)), Counter(await asyncio.gather(*new))
    for arrival in world.arrivals:
        record.write(f"{arrival.request_id} runs at {arrival.engine}", arrival.at_s)
    record.write(f"{gone_on[True]} of {len(broken)} went on, {begun[True]} of {STREAMS} began")
    if len(broken) < 12:
        raise RuntimeError("too few streams to judge")
    return gone_on[True] / len(broken) < begun[True] / STREAMS / 2


if __name__ == "__main__":
    run_case(case, has_trouble=sys.argv[1] != "0", record_file=Path(sys.argv[2]))
