"""A drawn endpoint: it answers after a while, may name a rate, and records arrivals."""

import asyncio
import random
from dataclasses import dataclass, field

from springbridge.rates.statements import StatedRate
from springbridge.routing.records import EndpointEntry
from springbridge.statements.answer_statements import AnswerStatements
from springbridge_node.gateway.requests.request_codec import AnswerMetadata

from springbridge_standins.rates.rate_record import Arrival, Named, RateRecord
from springbridge_standins.rates.statement_record import Request, StatementRecord

# Least time that an answer takes, in seconds, and the most of what is drawn on top.
LEAST_WORK_S, MOST_WORK_S = 0.01, 0.4
# Seconds until an endpoint that has no room says so.
REFUSAL_S = 0.003


@dataclass
class DrawnEndpoint:
    """One endpoint.

    Attributes:
      said: What reached it, beside what it said of leaving and rest.
      leaves: Whether its answers say that it leaves.
      rest_s: The rest that it asks for as it turns requests away; None while it serves.
    """

    entry: EndpointEntry
    rng: random.Random
    record: RateRecord = field(default_factory=RateRecord)
    said: StatementRecord = field(default_factory=StatementRecord)
    leaves: bool = False
    rest_s: float | None = None

    def name(self, per_s: float | None) -> None:
        """Name a rate from now on, or none."""
        self.record.named.append(Named(asyncio.get_running_loop().time(), per_s))

    async def answer(self, request: Request) -> AnswerMetadata:
        """Take a request and return what the head of its answer says."""
        loop = asyncio.get_running_loop()
        self.record.arrivals.append(Arrival(loop.time(), request.is_excused))
        self.said.arrived(request, loop.time())
        rest_s = self.rest_s
        if rest_s is not None:
            self.said.asked_rest(request, loop.time(), rest_s)
            await asyncio.sleep(REFUSAL_S)
            rate = StatedRate(self.record.answered(loop.time()))
            return AnswerMetadata("", True, False, AnswerStatements(rate, self.leaves, rest_s))
        await asyncio.sleep(LEAST_WORK_S + self.rng.random() * MOST_WORK_S)
        rate = StatedRate(self.record.answered(loop.time()))
        return AnswerMetadata("", False, False, AnswerStatements(rate, self.leaves))
