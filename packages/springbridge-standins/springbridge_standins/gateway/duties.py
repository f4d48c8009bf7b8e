"""Stand-in for the platform's duty calls: takes usage reports and orders, and checks who makes
them.

Calls may be lost before or after they take effect, or refused. What must never be is told by
broken(): two reports of one window with other counts, a token of two holders, a token lower than
one before, or a holder that returns too early.
"""

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum, auto

import orjson

from springbridge_standins.http_standin import HttpStandIn
from springbridge_standins.http_wire import Connection, RawRequest, answer

# Longer than any test.
SILENT_S = 3600.0
# Within this time, in seconds, holders A, B, A are too many.
NO_RETURN_S = 3.0


class DutyFault(Enum):
    """How the calls fail."""

    NONE = auto()
    SILENT = auto()
    BUSY = auto()
    LOST = auto()


@dataclass(frozen=True)
class DutyCall:
    """A call as it came.

    Attributes:
      holder: Name of the instance that made it; all nodes of a test share one IP number.
      subject: What the duty is about.
    """

    at_s: float
    holder: str
    token: int
    subject: str


@dataclass
class Orders:
    """The last order about each subject, and those that are refused.

    Attributes:
      none_to_be_had: Failure domains without spot endpoints.
    """

    counts: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    none_to_be_had: set[str] = field(default_factory=set)


class DutyStandIn(HttpStandIn):
    """The calls.

    Attributes:
      fault: How calls fail now.
      calls: All calls that came, in order.
      reports: Counts by window, as they were first reported.
      orders: The orders.
    """

    def __init__(self) -> None:
        """Start without calls."""
        super().__init__()
        self.fault = DutyFault.NONE
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.orders = Orders()
        self._broken: list[str] = []

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Take a call, or fail it."""
        if self.fault is DutyFault.SILENT:
            await asyncio.sleep(SILENT_S)
        if self.fault is DutyFault.BUSY:
            await connection.send(answer("", b"{}", 429, signature=""))
            return
        status = self._take(request)
        if self.fault is DutyFault.LOST:
            connection.reset()
            return
        await connection.send(answer("", b"{}", status, signature=""))

    def broken(self) -> list[str]:
        """Return what broke the rules of duties, a line each."""
        return self._broken + self._check_holders()

    def _take(self, request: RawRequest) -> int:
        """Let a call take effect, and return the status of its answer."""
        body = request.json()
        is_usage = request.path == "/usage"
        subject = "usage" if is_usage else f"{body['service']} {body['zone']}"
        token = int(request.headers["fencing-token"])
        holder = request.headers["lease-holder"]
        self.calls.append(DutyCall(time.monotonic(), holder, token, subject))
        return self._take_usage(body) if is_usage else self._take_order(body)

    def _take_usage(self, body: dict) -> int:
        """Take a report of usage."""
        window, counts = body["windowId"], body["counts"]
        if self.reports.setdefault(window, counts) != counts:
            self._broken.append(f"window {window} reported twice: {orjson.dumps(counts)!r}")
        return 200

    def _take_order(self, body: dict) -> int:
        """Take an order."""
        spot = bool(body.get("spot"))
        if spot and body["zone"] in self.orders.none_to_be_had:
            return 409
        self.orders.counts[body["service"], body["zone"], spot] = body["desiredCount"]
        return 200

    def _check_holders(self) -> list[str]:
        """Check the calls about each subject, in their order."""
        broken = []
        for subject in {call.subject for call in self.calls}:
            calls = [call for call in self.calls if call.subject == subject]
            for number, call in enumerate(calls):
                broken += _wrong_with(call, calls[:number])
        return broken


def _wrong_with(call: DutyCall, before: list[DutyCall]) -> list[str]:
    """Return what is wrong with a call after those before it."""
    wrong = []
    if any(each.token > call.token for each in before):
        wrong.append(f"a lower token: {call}")
    if any(each.token == call.token and each.holder != call.holder for each in before):
        wrong.append(f"a token of two holders: {call}")
    recent = [each for each in before if each.at_s > call.at_s - NO_RETURN_S]
    own = [number for number, each in enumerate(recent) if each.holder == call.holder]
    if own and any(each.holder != call.holder for each in recent[own[0] :]):
        wrong.append(f"a holder returned too early: {call}")
    return wrong
