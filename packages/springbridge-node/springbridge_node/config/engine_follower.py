"""Keeps the list of engines fresh: from the store at a steady pace, from peers while it fails."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Failure, Success
from springbridge.routing.engine_board import EngineBoard
from springbridge.routing.records import EngineListing

from springbridge_node import logs
from springbridge_node.config.dependency import Dependency
from springbridge_node.config.ports import PlatformStore

ASK_PEERS_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class AgedListing:
    """A list of engines and how old it is, as peers hand it on."""

    listing: EngineListing
    age_s: float


FetchFromPeers = Callable[[], Awaitable[AgedListing | None]]


class EngineFollower:
    """Reads the list of engines into the board."""

    def __init__(
        self,
        store: PlatformStore,
        board: EngineBoard,
        capacities: Callable[[], dict[str, int]],
        fetch: FetchFromPeers,
        regained: Callable[[], None],
        interval_s: float,
    ) -> None:
        """Keep what to read from and where to put it.

        Args:
          capacities: Returns the tokens that an engine of each service can keep.
          regained: Called when the store answers again after a failure.
          interval_s: Pause between two reads.
        """
        self._store = store
        self._board = board
        self._capacities = capacities
        self._fetch = fetch
        self._regained = regained
        self._interval_s = interval_s
        self.dependency = Dependency("store")

    async def step(self) -> None:
        """Read once; ask a peer where the list has grown old."""
        match await self._store.read_engines():
            case Success(listing):
                self._install(AgedListing(listing, 0.0), "store")
                if self.dependency.answered():
                    self._regained()
            case Failure(problem):
                self.dependency.failed(problem.detail)
                await self._ask_peers()
        await asyncio.sleep(self._interval_s)

    async def _ask_peers(self) -> None:
        """Take a younger list from a peer."""
        if self._board.age_s() < ASK_PEERS_AFTER_S:
            return
        aged = await self._fetch()
        if aged is not None and aged.age_s < self._board.age_s():
            self._install(aged, "peer")

    def _install(self, aged: AgedListing, source: str) -> None:
        """Put a list in use and log it if it brought a change."""
        if self._board.install(aged.listing, self._capacities(), aged.age_s):
            logs.event(
                "engines.changed",
                revision=aged.listing.revision,
                age_ms=round(aged.age_s * 1000),
                source=source,
                listed=len(aged.listing.entries),
                draining=sorted(
                    entry.engine_id for entry in aged.listing.entries if entry.draining
                ),
            )
