"""Stand-in for a plain service: it counts how often it ran each request."""

import asyncio
from collections import Counter

import orjson
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

ID_HEADER = "Request-Id"


class PlainService:
    """One service.

    Attributes:
      delay_s: Time that a call takes.
      refuse: Whether calls are turned away before they run.
      cut: Whether calls run but their reply is lost.
    """

    def __init__(self, address: str):
        """Start with nothing counted; address is IP number:port."""
        self.address = address
        self.executions: Counter[str] = Counter()
        self.delay_s = 0.05
        self.refuse = False
        self.cut = False

    async def run(self) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(":")
        args = {"service": self}
        application = Application(
            [
                (r"/faults", FaultHandler, args),
                (r"/counters", CounterHandler, args),
                (r"/.*", CallHandler, args),
            ],
            log_function=lambda handler: None,
        )
        HTTPServer(application).listen(int(port), host)
        await asyncio.Event().wait()


class ServiceHandler(RequestHandler):
    """What all handlers share."""

    def initialize(self, service: PlainService) -> None:
        """Keep the service."""
        self.service = service


class CallHandler(ServiceHandler):
    """Runs calls."""

    async def post(self) -> None:
        """Run a call and answer with its id and body."""
        if self.service.refuse:
            self.set_status(503)
            self.set_header("Engine-Admitted", "no")
            return
        request_id = self.request.headers[ID_HEADER]
        self.service.executions[request_id] += 1
        await asyncio.sleep(self.service.delay_s)
        if self.service.cut:
            self.request.connection.stream.close()
            return
        self.set_header(ID_HEADER, request_id)
        body = orjson.loads(self.request.body)
        self.finish({"done": self.request.path, "request": body})


class FaultHandler(ServiceHandler):
    """Switches faults."""

    def post(self) -> None:
        """Set the attributes that are named."""
        for name, value in orjson.loads(self.request.body).items():
            setattr(self.service, name, value)


class CounterHandler(ServiceHandler):
    """Shows how often each request ran."""

    def get(self) -> None:
        """Answer with the counts."""
        self.finish({"started": self.service.executions})
