"""A model engine in a process of its own: stream_engine.py IP:PORT ID LOG FRAMING PACE_S.

It answers a request for /NAME/N with a stream of N events, one each PACE_S. FRAMING is "chunked" or
"unframed"; the end of an unframed answer is marked by the end of its connection alone. SIGTERM is
its planned end: the process exits, and the kernel closes its connections. SIGUSR1 makes it faulty
and SIGUSR2 sound again: meanwhile it rejects a share GARBLED of long requests before they are in.
"""

import asyncio
import os
import random
import signal
import sys

from standins import Message, chunk, event, message, read_body, read_head

GARBLED = 0.03
LONG_BYTES = 8000

is_garbling = False


def _log(text: str) -> None:
    with open(sys.argv[3], "a", encoding="ascii") as log:
        log.write(text + "\n")


def _garble(on: bool) -> None:
    global is_garbling
    is_garbling = on


async def _answer(request: Message, writer: asyncio.StreamWriter) -> None:
    engine_id, framing, pace_s = sys.argv[2], sys.argv[4], float(sys.argv[5])
    signature = f"{engine_id}.{request.request_id}"
    first = int(request.headers.get("last-event-id", "0")) + 1
    last = int(request.target.rpartition("/")[2])
    _log(f"run      {request.request_id} at {engine_id}, events {first} to {last}")
    headers = {"Request_Id": request.request_id, "Response_Signature": signature}
    headers["Content_Type"] = "text/event-stream"
    if framing == "chunked":
        headers["Transfer_Encoding"] = "chunked"
    else:
        headers["Connection"] = "close"
    writer.write(message("HTTP/1.1 200 OK", None, **headers))
    for number in range(first, last + 1):
        await asyncio.sleep(pace_s)
        writer.write(chunk(event(number)) if framing == "chunked" else event(number))
        await writer.drain()
    if framing == "chunked":
        writer.write(chunk(b""))
    _log(f"ended    {request.request_id} at {engine_id}, event {last} made")


async def _serve_one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    engine_id = sys.argv[2]
    request = await read_head(reader)
    carried = {"Request_Id": request.request_id}
    is_long = int(request.headers.get("content-length", 0)) > LONG_BYTES
    if is_garbling and is_long and random.random() < GARBLED:
        _log(f"rejects  {request.request_id} at {engine_id} before it is in")
        signature = f"{engine_id}.{request.request_id}"
        text = b"request too long"
        writer.write(message("HTTP/1.1 413 -", text, Response_Signature=signature, **carried))
        await read_body(reader, request)
        return
    await read_body(reader, request)
    if request.target == "/healthz":
        writer.write(message("HTTP/1.1 200 OK", Instance_Id=engine_id, **carried))
    elif request.headers.get("expected-instance", engine_id) != engine_id:
        writer.write(message("HTTP/1.1 421 -", Not_Executed="1", **carried))
    else:
        await _answer(request, writer)


async def _handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            await _serve_one(reader, writer)
            if sys.argv[4] != "chunked":
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, os._exit, 0)
    loop.add_signal_handler(signal.SIGUSR1, _garble, True)
    loop.add_signal_handler(signal.SIGUSR2, _garble, False)
    ip, _, port = sys.argv[1].rpartition(":")
    server = await asyncio.start_server(_handle, ip, int(port))
    await server.serve_forever()


asyncio.run(_serve())
