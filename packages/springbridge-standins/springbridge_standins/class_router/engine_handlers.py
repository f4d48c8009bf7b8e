"""The HTTP interface of the stand-in engine."""

import asyncio
from typing import TYPE_CHECKING

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from springbridge_standins.class_router.engine_stream import Stream, answer_text

if TYPE_CHECKING:
    from springbridge_standins.engine import ModelEngine

FROZEN_POLL_S = 0.05


class EngineHandler(RequestHandler):
    """What all handlers share."""

    def initialize(self, engine: "ModelEngine") -> None:
        """Keep the engine."""
        self.engine = engine
        engine._handlers.add(self)

    def on_finish(self) -> None:
        """Forget the handler."""
        self.engine._handlers.discard(self)

    def on_connection_close(self) -> None:
        """Forget the handler."""
        self.engine._handlers.discard(self)

    async def thawed(self) -> None:
        """Return when the engine is not frozen."""
        while self.engine.faults.frozen:
            await asyncio.sleep(FROZEN_POLL_S)

    async def send_stream(self, stream: Stream, offset: int) -> None:
        """Write a stream's chunks from an offset on."""
        self.set_header("Content-Type", "text/event-stream")
        sent = offset
        try:
            while True:
                changed = stream.changed
                await self.thawed()
                if stream.offset > sent or stream.whole:
                    self._write_chunk(stream, sent)
                    sent = stream.offset
                    await self.flush()
                if stream.ended:
                    break
                await changed.wait()
        except StreamClosedError:
            return
        if stream.whole:
            self.finish(b"data: [DONE]\n\n")
        else:
            self.request.connection.stream.close()

    def _write_chunk(self, stream: Stream, sent: int) -> None:
        """Write one chunk, spoiled if the faults say so."""
        garble = self.engine.faults.garble
        offset = sent + (1 if garble == "gap" and sent else 0)
        chunk = {
            "id": "foreign" if garble == "foreign" and sent else stream.job_id,
            "offset": offset,
            "tokens": stream.offset - offset,
            "text": answer_text(stream.tag, offset, stream.offset),
            "last": stream.whole,
        }
        if garble == "cut" and sent:
            self.request.connection.stream.close()
            return
        data = b"data: " + orjson.dumps(chunk) + b"\n\n"
        self.write(data * 2 if garble == "repeat" else data)


class GenerateHandler(EngineHandler):
    """Starts jobs."""

    async def post(self) -> None:
        """Start a job and stream its answer."""
        await self.thawed()
        if self.engine.faults.refuse or self.engine.full():
            self.set_status(503)
            self.set_header("Engine-Admitted", "no")
            return
        stream = self.engine.admit(orjson.loads(self.request.body))
        await self.send_stream(stream, stream.first_offset)


class ResumeHandler(EngineHandler):
    """Goes on with jobs that the engine has."""

    async def get(self, job_id: str) -> None:
        """Stream a job's answer from an offset on."""
        await self.thawed()
        stream = self.engine.streams.get(job_id)
        if stream is None:
            self.set_status(404)
            self.set_header("Engine-Admitted", "no")
            return
        await self.send_stream(stream, int(self.get_query_argument("offset", "0")))


class CancelHandler(EngineHandler):
    """Stops jobs."""

    async def post(self, job_id: str) -> None:
        """Stop a job."""
        await self.thawed()
        self.engine.cancel(job_id)


class LoadHandler(EngineHandler):
    """Reports load, late."""

    async def get(self) -> None:
        """Answer with the load."""
        await self.thawed()
        self.finish({"load": self.engine.reported_load()})


class OrderHandler(EngineHandler):
    """Takes operators' orders."""

    async def post(self) -> None:
        """Take or refuse an order."""
        if not self.engine.order(orjson.loads(self.request.body)):
            self.set_status(409)
            self.finish("the order's epoch is behind")


class FaultHandler(EngineHandler):
    """Switches faults."""

    def post(self) -> None:
        """Switch the faults that are named; crash names the seconds to stay down."""
        wanted = orjson.loads(self.request.body)
        crash_s = wanted.pop("crash", None)
        for name, value in wanted.items():
            setattr(self.engine.faults, name, value)
        if crash_s is not None:
            asyncio.get_running_loop().create_task(self.engine.crash(crash_s))


class CounterHandler(EngineHandler):
    """Shows what the engine has done."""

    def get(self) -> None:
        """Answer with the counters."""
        engine = self.engine
        self.finish(
            {
                "started": engine.started,
                "generated_tokens": engine.generated_tokens,
                "active": len(engine.batch) + len(engine.waiting),
                "orders": engine.orders,
            }
        )
