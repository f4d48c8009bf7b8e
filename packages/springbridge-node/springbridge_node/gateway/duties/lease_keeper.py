"""Acquires, renews and releases the lease under which one node performs the fleet's duties.

Owns this node's tenure. The rules are those of springbridge.duties.lease. Each step makes at most
one call to the store, except after a refused renewal. Duty calls run inside credentials_for_call(),
which rejects calls that could outlast the tenure, and the lease is released only while none is in
progress.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterator
from dataclasses import replace

from returns.result import Failure, Success
from springbridge.codes import Code
from springbridge.duties import lease
from springbridge.duties.lease import LeaseReading, LeaseRow, ObservedLease, Step, Takeover, Tenure
from springbridge.problems import Problem
from springbridge.store_stamp import era_of

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.dependency import Dependency
from springbridge_node.gateway.duties.duty_platform import Credentials, LeaseStore
from springbridge_node.gateway.duties.lease_candidates import LeaseCandidates

# Name of the single lease that covers all duties.
DUTY = "duties"
# Seconds between two checks whether the last duty call has ended.
POLL_S = 0.02


class LeaseKeeper:
    """The lease as this node sees it.

    Attributes:
      dependency: Whether the store answered the last call about the lease.
      acquisitions: Number of times this node has acquired the lease.
    """

    def __init__(
        self,
        store: LeaseStore,
        candidates: LeaseCandidates,
        name: str,
        incarnation: str,
        lease_s: float,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Start without the lease.

        Args:
          name: Name of this instance.
          incarnation: Identifier of this run of its process.
          lease_s: Length of the lease, in seconds.
        """
        self._store = store
        self._candidates = candidates
        self._name = name
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._clock = clock
        self._observed: ObservedLease | None = None
        self._tenure: Tenure | None = None
        self._leaving = False
        self._calls_in_progress = 0
        self._step = asyncio.Lock()
        self._alone_until_s = -math.inf
        self._on_taken: Callable[[Takeover], None] = lambda takeover: None
        self._content_to_store: Callable[[int], bytes] = lambda era: b""
        self._on_renewed: Callable[[], None] = lambda: None
        self.dependency = Dependency("lease of duties")
        self.acquisitions = 0

    def connect(
        self,
        on_taken: Callable[[Takeover], None],
        content_to_store: Callable[[int], bytes],
        on_renewed: Callable[[], None],
    ) -> None:
        """Set the callbacks of the parts that work under the lease.

        Args:
          on_taken: Called when this node has acquired the lease.
          content_to_store: Returns the state that the next renewal stores for later holders, given
            the era of the store.
          on_renewed: Called when the store has acknowledged what content_to_store() last returned.
        """
        self._on_taken, self._content_to_store, self._on_renewed = (
            on_taken,
            content_to_store,
            on_renewed,
        )

    @property
    def credentials(self) -> Credentials | None:
        """Return the credentials for duty calls, or None if this node does not hold the lease."""
        if self._tenure is None or self._clock() > self._tenure.until_s:
            return None
        return Credentials(self._name, self._tenure.token)

    @contextlib.contextmanager
    def credentials_for_call(self, call_s: float) -> Iterator[Credentials | None]:
        """Yield the credentials for one call, or None if it could outlast the tenure.

        Args:
          call_s: Timeout of the call, in seconds.
        """
        tenure = self._tenure
        if tenure is None or self._leaving or not tenure.allows(self._clock(), call_s):
            yield None
            return
        self._calls_in_progress += 1
        try:
            yield Credentials(self._name, tenure.token)
        finally:
            self._calls_in_progress -= 1

    async def leave(self) -> None:
        """Release the lease, as part of a planned stop; it is not taken again."""
        self._leaving = True
        await self.step()

    async def step(self) -> None:
        """Acquire, renew or release the lease, as due."""
        async with self._step:
            if self._tenure is not None:
                await self._hold(self._tenure)
            elif not self._leaving:
                await self._act_as_candidate()

    async def _hold(self, tenure: Tenure) -> None:
        """Renew the lease, release it, or give it up if the tenure has expired."""
        is_candidate = not self._leaving and self._candidates.include_me()
        match lease.holder_step(tenure, self._clock(), is_candidate=is_candidate):
            case Step.RENEW:
                await self._renew(tenure)
            case Step.HAND_ON:
                await self._release(tenure)
            case _:
                self._drop_tenure("not renewed in time")

    async def _act_as_candidate(self) -> None:
        """Watch the row if this node is a candidate, and acquire the lease once it is free."""
        rank = self._candidates.rank()
        if self._next_step(rank) is Step.READ:
            await self._read()
        match self._next_step(rank):
            case Step.TAKE:
                await self._take(self._observed)
            case Step.WAIT:
                self._observed = None

    def _next_step(self, rank: int) -> Step:
        """Return the next step of this node as a candidate."""
        return lease.candidate_step(self._observed, self._clock(), self._lease_s, rank)

    async def _read(self) -> LeaseReading | None:
        """Read the row and return the reading, or None if the call failed."""
        match await self._store.read_lease(DUTY):
            case Success(reading):
                self.dependency.answered()
                self._observed = lease.observe(self._observed, reading, self._clock())
                return reading
            case Failure(problem):
                self.dependency.failed(problem.detail)
        return None

    async def _take(self, sight: ObservedLease) -> None:
        """Write this node as the holder, with the stored content of the previous holder."""
        before = sight.reading
        row = self._row(before.row.content if before.row else b"", before.stamp)
        sent_s = self._clock()
        result = await self._store.write_lease(DUTY, row, before.stamp)
        self._observed = None
        if isinstance(result, Failure):
            self._log_failed_write("take", result.failure())
            return
        written = result.unwrap()
        self.dependency.answered()
        if era_of(written.stamp) != era_of(before.stamp):
            # The store was restored from an older copy in the meantime. The condition of the write
            # names only a revision, which now belongs to another write: this node has not watched
            # the row that it replaced.
            logs.event("lease.not_written", call="take", detail="another era")
            return
        self._tenure = lease.new_tenure(written.stamp, sent_s, self._lease_s)
        self.acquisitions += 1
        logs.event(
            "lease.taken",
            token=self._tenure.token,
            before=before.row.holder if before.row else "",
            handed_on=bool(before.row and before.row.handed_on),
        )
        reading = replace(before, store_s=written.store_s)
        self._on_taken(Takeover(reading, sight.since_s, self._clock(), self._alone_until_s))
        # Renewed at once: a report may be due, and reports are sent only after a renewal.
        await self._renew(self._tenure)

    async def _renew(self, tenure: Tenure) -> None:
        """Renew the lease and store the state that later holders need."""
        row = self._row(self._content_to_store(era_of(tenure.stamp)), tenure.stamp)
        sent_s = self._clock()
        result = await self._store.write_lease(DUTY, row, tenure.stamp)
        if isinstance(result, Failure):
            await self._after_refused_renewal(tenure, result.failure())
            return
        written = result.unwrap()
        self.dependency.answered()
        if era_of(written.stamp) != era_of(tenure.stamp):
            # As in _take(): another node may have held the lease before the restore. The row is
            # this run's own now, so that the next renewal has a condition of this era.
            logs.event("lease.not_written", call="renew", detail="another era")
            self._tenure = replace(tenure, stamp=written.stamp)
            return
        self._tenure = lease.renewed_tenure(tenure, written.stamp, sent_s, self._lease_s)
        self._alone_until_s = sent_s + self._lease_s
        self._on_renewed()

    async def _after_refused_renewal(self, tenure: Tenure, problem: Problem) -> None:
        """Read the row to find out whether this node still holds the lease."""
        self._log_failed_write("renew", problem)
        if problem.code is not Code.VERSION_CONFLICT:
            return
        reading = await self._read()
        if reading is None:
            return
        self._tenure = lease.after_refused_renewal(tenure, reading, self._incarnation)
        if self._tenure is None:
            self._tenure = tenure
            self._drop_tenure("another holder" if reading.row else "no row")

    async def _release(self, tenure: Tenure) -> None:
        """Release the lease once no duty call is in progress."""
        self._tenure = None
        while self._calls_in_progress:
            await asyncio.sleep(POLL_S)
        self._alone_until_s = -math.inf
        content = self._content_to_store(era_of(tenure.stamp))
        row = replace(self._row(content, tenure.stamp), handed_on=True)
        result = await self._store.write_lease(DUTY, row, tenure.stamp)
        if isinstance(result, Failure):
            # The successor then has to wait until the lease expires.
            self._log_failed_write("hand on", result.failure())
        else:
            logs.event("lease.handed_on", token=tenure.token)
        self._observed = None

    def _row(self, content: bytes, before: int) -> LeaseRow:
        """Return the row that names this process as the holder.

        Args:
          before: Stamp of the row that it replaces.
        """
        return LeaseRow(self._name, self._incarnation, False, content, era_of(before))

    def _drop_tenure(self, reason: str) -> None:
        """Drop the tenure: this node does not hold the lease any more."""
        logs.event("lease.lost", token=self._tenure.token, reason=reason)
        self._tenure = None
        self._observed = None

    def _log_failed_write(self, call: str, problem: Problem) -> None:
        """Log a write that the store did not acknowledge."""
        logs.event("lease.not_written", call=call, detail=problem.detail)
        if problem.code is not Code.VERSION_CONFLICT:
            self.dependency.failed(problem.detail)
