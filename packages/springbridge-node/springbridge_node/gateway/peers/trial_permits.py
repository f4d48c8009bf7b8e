"""Asks the trial coordinator of a service whether a suspect request may be sent, or answers.

A question and its answer are one datagram each, and carry what either node knows of the request, so
that the one that knows more decides. Without an answer in time the request waits: two coordinators
that both grant would put a second endpoint at risk.
"""

from collections.abc import Callable

from springbridge.crash_records import CrashRecords, CrashReport
from springbridge.quarantine import Quarantine
from springbridge.trials import WAIT, Permission, Trials

from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.crash_rows import TrialReply, TrialRequest
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators


class TrialPermits:
    """Both sides of the question."""

    def __init__(
        self,
        quarantine: Quarantine,
        sharing: CrashSharing,
        coordinators: TrialCoordinators,
        endpoint_count: Callable[[str], int],
    ) -> None:
        """Keep the parts.

        Args:
          endpoint_count: Returns how many endpoints of a service may get requests.
        """
        self._records: CrashRecords = quarantine.records
        self._sharing = sharing
        self._coordinators = coordinators
        self._endpoint_count = endpoint_count
        self._trials = Trials(quarantine)
        self._pending: PendingReplies[TrialReply] = PendingReplies()
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to ask and to answer."""
        self._datagrams = datagrams
        datagrams.handle(Kind.TRIAL_REQUEST, self._answer)
        datagrams.handle(Kind.TRIAL_REPLY, self._take_reply)
        datagrams.handle(Kind.TRIAL_ENDED, self._take_end)

    async def ask(
        self, fingerprint: str, holder: str, service: str, endpoint_id: str, left_s: float
    ) -> Permission:
        """Return whether a request may be sent to an endpoint now.

        Args:
          holder: Names the try of the request, in the whole fleet.
          left_s: Seconds left to the request's deadline.
        """
        coordinators = self._coordinators.of(service)
        if not coordinators or self._coordinators.is_me(coordinators[0]):
            return self._decide(fingerprint, holder, service, endpoint_id, left_s)
        address = coordinators[0].peer_address

        def send(number: int) -> None:
            told = self._told(fingerprint)
            request = TrialRequest(number, holder, service, endpoint_id, left_s, told)
            self._datagrams.send(Kind.TRIAL_REQUEST, crash_rows.request_row(request), [address])

        reply = await self._pending.ask(send)
        if reply is None:
            return WAIT
        self._sharing.merge(reply.record)
        return reply.permission

    def end(self, fingerprint: str, holder: str, service: str) -> None:
        """Note that a trial is over, with what it showed."""
        coordinators = self._coordinators.of(service)
        if not coordinators or self._coordinators.is_me(coordinators[0]):
            self._trials.finish(fingerprint, holder)
        elif self._datagrams is not None:
            row = crash_rows.end_row(holder, self._told(fingerprint))
            self._datagrams.send(Kind.TRIAL_ENDED, row, [coordinators[0].peer_address])

    def _told(self, fingerprint: str) -> CrashReport:
        return self._records.report(fingerprint) or CrashReport(fingerprint)

    def _decide(
        self, fingerprint: str, holder: str, service: str, endpoint_id: str, left_s: float
    ) -> Permission:
        endpoints = self._endpoint_count(service)
        return self._trials.request(fingerprint, holder, endpoint_id, left_s, endpoints)

    def _answer(self, row: list, sender: str) -> None:
        """Answer a node's question."""
        request = crash_rows.read_request(row)
        self._sharing.merge(request.record)
        fingerprint = request.record.fingerprint
        permission = self._decide(
            fingerprint, request.holder, request.service, request.endpoint_id, request.left_s
        )
        reply = TrialReply(request.number, permission, self._told(fingerprint))
        self._datagrams.send(Kind.TRIAL_REPLY, crash_rows.reply_row(reply), [sender])

    def _take_reply(self, row: list, sender: str) -> None:
        """Hand a reply to the request that waits for it."""
        reply = crash_rows.read_reply(row)
        self._pending.take(reply.number, reply)

    def _take_end(self, row: list, sender: str) -> None:
        """Note that a peer's trial is over."""
        holder, told = crash_rows.read_end(row)
        self._sharing.merge(told)
        self._trials.finish(told.fingerprint, holder)
