"""Stand-in of the platform's duty calls: accepts usage reports and scaling orders and checks them.

Calls may be lost before or after they take effect, or refused. violations() returns what must never
happen: two reports of one window with different counts, two holders with the same fencing token, a
token lower than an earlier one, or a holder that returns too early.
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
# Within this time the lease may not go from holder A to B and back to A.
MIN_RETURN_S = 3.0


class DutyFault(Enum):
    """How the calls fail: no answer, status 429 (BUSY), or executed and then reset (LOST)."""

    NONE = auto()
    SILENT = auto()
    BUSY = auto()
    LOST = auto()


@dataclass(frozen=True)
class DutyCall:
    """A call as received.

    Attributes:
      at_s: Time of arrival on the monotonic clock.
      holder: Name of the instance that made it; all nodes of a test share one IP.
      token: Its fencing token.
      subject: "usage", or the service and the failure domain of an order.
    """

    at_s: float
    holder: str
    token: int
    subject: str


@dataclass
class Orders:
    """The last order for each subject, and the domains whose orders are refused.

    Attributes:
      counts: Ordered number of endpoints by service, failure domain and whether they are spot.
      domains_without_spot: Failure domains in which orders of spot endpoints get status 409.
    """

    counts: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    domains_without_spot: set[str] = field(default_factory=set)


class DutyStandIn(HttpStandIn):
    """HTTP server for duty calls.

    Attributes:
      fault: The current fault.
      calls: All received calls, in order.
      reports: Counts by window, as first reported.
      orders: The orders received so far.
    """

    def __init__(self) -> None:
        """Start without calls and without a fault."""
        super().__init__()
        self.fault = DutyFault.NONE
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.orders = Orders()
        self._violations: list[str] = []

    async def respond(self, request: RawRequest, connection: Connection) -> None:
        """Execute a call, or fail it according to the fault."""
        if self.fault is DutyFault.SILENT:
            await asyncio.sleep(SILENT_S)
        if self.fault is DutyFault.BUSY:
            await connection.send(answer("", b"{}", 429, signature=""))
            return
        status = self._execute(request)
        if self.fault is DutyFault.LOST:
            connection.reset()
            return
        await connection.send(answer("", b"{}", status, signature=""))

    def violations(self) -> list[str]:
        """Return a line for each violation of the rules of duties."""
        return self._violations + self._check_holders()

    def _execute(self, request: RawRequest) -> int:
        """Record a call and its effect, and return the status of its answer."""
        body = request.json()
        is_usage = request.path == "/usage"
        subject = "usage" if is_usage else f"{body['service']} {body['zone']}"
        token = int(request.headers["fencing-token"])
        holder = request.headers["lease-holder"]
        self.calls.append(DutyCall(time.monotonic(), holder, token, subject))
        return self._record_usage(body) if is_usage else self._record_order(body)

    def _record_usage(self, body: dict) -> int:
        """Record a usage report; another one with different counts is a violation."""
        window, counts = body["windowId"], body["counts"]
        if self.reports.setdefault(window, counts) != counts:
            self._violations.append(f"window {window} reported twice: {orjson.dumps(counts)!r}")
        return 200

    def _record_order(self, body: dict) -> int:
        """Record an order; 409 if it asks for spot endpoints in a domain without any."""
        spot = bool(body.get("spot"))
        if spot and body["zone"] in self.orders.domains_without_spot:
            return 409
        self.orders.counts[body["service"], body["zone"], spot] = body["desiredCount"]
        return 200

    def _check_holders(self) -> list[str]:
        """Return the violations among the calls of each subject."""
        violations = []
        for subject in {call.subject for call in self.calls}:
            calls = [call for call in self.calls if call.subject == subject]
            for number, call in enumerate(calls):
                violations += _violations_of(call, calls[:number])
        return violations


def _violations_of(call: DutyCall, before: list[DutyCall]) -> list[str]:
    """Return the violations of a call, given the earlier calls of its subject."""
    found = []
    if any(each.token > call.token for each in before):
        found.append(f"a lower token: {call}")
    if any(each.token == call.token and each.holder != call.holder for each in before):
        found.append(f"a token of two holders: {call}")
    recent = [each for each in before if each.at_s > call.at_s - MIN_RETURN_S]
    own = [number for number, each in enumerate(recent) if each.holder == call.holder]
    if own and any(each.holder != call.holder for each in recent[own[0] :]):
        found.append(f"a holder returned too early: {call}")
    return found
