"""Asks whether a prompt with suspected parts may be sent, and decides on that as coordinator.

The datagrams are those of trial_permits.py, with the crash records of all parts in place of that of
the request. A node of a build that does not know them grants any such trial.
"""

from collections.abc import Callable, Iterable

from springbridge.crash_records import CrashRecords, CrashReport
from springbridge.part_quarantine import PartQuarantine
from springbridge.part_trials import PARTS_ROLE, PartTrials
from springbridge.trials import WAIT, Permission

from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.crash_rows import TrialEnd, TrialReply, TrialRequest
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators

# Stands for the record of a whole request in datagrams about parts.
NO_RECORD = CrashReport("")


class PartPermits:
    """Client and coordinator side of trials of parts.

    Attributes:
      pending: The trial requests that await a reply, those about whole requests among them.
    """

    def __init__(
        self,
        quarantine: PartQuarantine,
        sharing: CrashSharing,
        coordinators: TrialCoordinators,
        endpoint_count: Callable[[str], int],
    ) -> None:
        """Start without trials running.

        Args:
          endpoint_count: Returns how many endpoints of a service may get requests.
        """
        self.pending: PendingReplies[TrialReply] = PendingReplies()
        self._records: CrashRecords = quarantine.records
        self._sharing = sharing
        self._coordinators = coordinators
        self._endpoint_count = endpoint_count
        self._trials = PartTrials(quarantine)
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending trial requests; trial_permits.py passes on those that arrive."""
        self._datagrams = datagrams

    async def request(
        self, keys: tuple[str, ...], holder: str, service: str, endpoint_id: str, left_s: float
    ) -> Permission:
        """Return whether a prompt may be sent to an endpoint now; WAIT without a reply.

        Args:
          keys: Keys of the parts of the prompt.
          holder: Id of the attempt, unique in the fleet.
          left_s: Seconds left to the request's deadline.
        """
        coordinators = self._coordinators.of(PARTS_ROLE)
        if not coordinators or self._coordinators.is_me(coordinators[0]):
            return self._decide(keys, holder, service, endpoint_id, left_s)
        address = coordinators[0].peer_address

        def send(number: int) -> None:
            parts = self._reports(keys)
            request = TrialRequest(number, holder, service, endpoint_id, left_s, NO_RECORD, parts)
            self._datagrams.send(Kind.TRIAL_REQUEST, crash_rows.request_row(request), [address])

        reply = await self.pending.request(send)
        if reply is None:
            return WAIT
        self._merge(reply.parts)
        return reply.permission

    def end(self, keys: tuple[str, ...], holder: str) -> None:
        """Report the end of a trial to the coordinator, with this node's crash records."""
        coordinators = self._coordinators.of(PARTS_ROLE)
        if not coordinators or self._coordinators.is_me(coordinators[0]):
            self._trials.finish(holder)
        elif self._datagrams is not None:
            row = crash_rows.end_row(TrialEnd(holder, NO_RECORD, self._reports(keys)))
            self._datagrams.send(Kind.TRIAL_ENDED, row, [coordinators[0].peer_address])

    def reply(self, request: TrialRequest) -> TrialReply:
        """Return the reply to a peer's request for a trial of parts."""
        self._merge(request.parts)
        keys = tuple(record.fingerprint for record in request.parts)
        permission = self._decide(
            keys, request.holder, request.service, request.endpoint_id, request.left_s
        )
        return TrialReply(request.number, permission, NO_RECORD, self._reports(keys))

    def finish(self, end: TrialEnd) -> None:
        """Record that a peer's trial of parts has ended."""
        self._merge(end.parts)
        self._trials.finish(end.holder)

    def _decide(
        self, keys: tuple[str, ...], holder: str, service: str, endpoint_id: str, left_s: float
    ) -> Permission:
        endpoints = self._endpoint_count(service)
        return self._trials.request(keys, holder, endpoint_id, left_s, endpoints)

    def _reports(self, keys: Iterable[str]) -> tuple[CrashReport, ...]:
        """Return this node's records of parts, empty ones for parts that it has none of."""
        return tuple(self._records.report(key) or CrashReport(key) for key in keys)

    def _merge(self, records: Iterable[CrashReport]) -> None:
        """Merge a peer's records; empty ones add nothing."""
        for record in records:
            if record.crashes or record.acquitted_ago_s is not None:
                self._sharing.merge(record)
