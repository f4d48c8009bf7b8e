"""A simulated endpoint: answers after a random time, may announce a limit, and records arrivals."""

import asyncio
import random
from dataclasses import dataclass, field

from springbridge.rates.statements import StatedRate
from springbridge.routing.records import EndpointEntry
from springbridge.statements.answer_statements import AnswerStatements
from springbridge_node.gateway.requests.request_codec import AnswerMetadata

from springbridge_standins.rates.rate_record import AnnouncedRate, Arrival, RateRecord
from springbridge_standins.rates.statement_record import Request, StatementRecord

# Shortest time of an answer, and the most that is added at random.
MIN_WORK_S, MAX_EXTRA_WORK_S = 0.01, 0.4
# Time until an endpoint that asks for rest rejects a request.
REFUSAL_S = 0.003


@dataclass
class SimulatedEndpoint:
    """One endpoint, with records of its announcements and requests.

    Attributes:
      statement_record: Its requests, and its announcements of leaving and rest.
      leaves: Whether its answers announce that it leaves.
      rest_s: The rest in seconds that it asks for when it rejects requests; None while it serves.
    """

    entry: EndpointEntry
    rng: random.Random
    record: RateRecord = field(default_factory=RateRecord)
    statement_record: StatementRecord = field(default_factory=StatementRecord)
    leaves: bool = False
    rest_s: float | None = None

    def name(self, per_s: float | None) -> None:
        """Announce a limit in requests per second from now on; None for no limit."""
        self.record.named.append(AnnouncedRate(asyncio.get_running_loop().time(), per_s))

    async def answer(self, request: Request) -> AnswerMetadata:
        """Process a request and return the metadata of its answer."""
        loop = asyncio.get_running_loop()
        self.record.arrivals.append(Arrival(loop.time(), request.is_excused))
        self.statement_record.arrived(request, loop.time())
        rest_s = self.rest_s
        if rest_s is not None:
            self.statement_record.asked_rest(request, loop.time(), rest_s)
            await asyncio.sleep(REFUSAL_S)
            rate = StatedRate(self.record.answered(loop.time()))
            return AnswerMetadata("", True, False, AnswerStatements(rate, self.leaves, rest_s))
        await asyncio.sleep(MIN_WORK_S + self.rng.random() * MAX_EXTRA_WORK_S)
        rate = StatedRate(self.record.answered(loop.time()))
        return AnswerMetadata("", False, False, AnswerStatements(rate, self.leaves))
