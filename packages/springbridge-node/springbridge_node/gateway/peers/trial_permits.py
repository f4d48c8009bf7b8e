"""Asks a trial coordinator whether a suspect request may be sent, and answers as coordinator.

A request and its reply are one datagram each. Both carry the sender's crash record of the suspect
request, so that the node that knows more decides. Without a reply in time the request waits: two
coordinators that both grant would put a second endpoint at risk.
"""

from collections.abc import Callable

from springbridge.crash_records import CrashRecords, CrashReport
from springbridge.quarantine import Quarantine
from springbridge.trials import WAIT, Permission, Trials

from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.crash_rows import TrialEnd, TrialReply, TrialRequest
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.part_permits import PartPermits
from springbridge_node.gateway.peers.pending_replies import PendingReplies
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators


class TrialPermits:
    """Client and coordinator side of trial requests."""

    def __init__(
        self,
        quarantine: Quarantine,
        sharing: CrashSharing,
        coordinators: TrialCoordinators,
        endpoint_count: Callable[[str], int],
        parts: PartPermits,
    ) -> None:
        """Start without trials running.

        Args:
          parts: Decides on the trials of parts of prompts, which come in the same datagrams.
          endpoint_count: Returns how many endpoints of a service may get requests.
        """
        self._records: CrashRecords = quarantine.records
        self._sharing = sharing
        self._coordinators = coordinators
        self._endpoint_count = endpoint_count
        self._trials = Trials(quarantine)
        self._parts = parts
        self._pending: PendingReplies[TrialReply] = parts.pending
        self._datagrams: PeerDatagrams | None = None

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending and answering trial requests."""
        self._datagrams = datagrams
        self._parts.connect(datagrams)
        datagrams.handle(Kind.TRIAL_REQUEST, self._handle_request)
        datagrams.handle(Kind.TRIAL_REPLY, self._receive_reply)
        datagrams.handle(Kind.TRIAL_ENDED, self._receive_end)

    async def request(
        self, fingerprint: str, holder: str, service: str, endpoint_id: str, left_s: float
    ) -> Permission:
        """Return whether a suspect request may be sent to an endpoint now; WAIT without a reply.

        Args:
          holder: Id of the attempt, unique in the fleet.
          left_s: Seconds left to the request's deadline.
        """
        coordinators = self._coordinators.of(service)
        if not coordinators or self._coordinators.is_me(coordinators[0]):
            return self._decide(fingerprint, holder, service, endpoint_id, left_s)
        address = coordinators[0].peer_address

        def send(number: int) -> None:
            record = self._record(fingerprint)
            request = TrialRequest(number, holder, service, endpoint_id, left_s, record)
            self._datagrams.send(Kind.TRIAL_REQUEST, crash_rows.request_row(request), [address])

        reply = await self._pending.request(send)
        if reply is None:
            return WAIT
        self._sharing.merge(reply.record)
        return reply.permission

    def end(self, fingerprint: str, holder: str, service: str) -> None:
        """Report the end of a trial to the coordinator, with this node's crash record."""
        coordinators = self._coordinators.of(service)
        if not coordinators or self._coordinators.is_me(coordinators[0]):
            self._trials.finish(fingerprint, holder)
        elif self._datagrams is not None:
            row = crash_rows.end_row(TrialEnd(holder, self._record(fingerprint)))
            self._datagrams.send(Kind.TRIAL_ENDED, row, [coordinators[0].peer_address])

    def _record(self, fingerprint: str) -> CrashReport:
        return self._records.report(fingerprint) or CrashReport(fingerprint)

    def _decide(
        self, fingerprint: str, holder: str, service: str, endpoint_id: str, left_s: float
    ) -> Permission:
        endpoints = self._endpoint_count(service)
        return self._trials.request(fingerprint, holder, endpoint_id, left_s, endpoints)

    def _handle_request(self, row: list, sender: str) -> None:
        """Answer a peer's trial request."""
        request = crash_rows.read_request(row)
        if request.parts:
            reply = self._parts.reply(request)
            self._datagrams.send(Kind.TRIAL_REPLY, crash_rows.reply_row(reply), [sender])
            return
        self._sharing.merge(request.record)
        fingerprint = request.record.fingerprint
        permission = self._decide(
            fingerprint, request.holder, request.service, request.endpoint_id, request.left_s
        )
        reply = TrialReply(request.number, permission, self._record(fingerprint))
        self._datagrams.send(Kind.TRIAL_REPLY, crash_rows.reply_row(reply), [sender])

    def _receive_reply(self, row: list, sender: str) -> None:
        """Pass a reply to the request that awaits it."""
        reply = crash_rows.read_reply(row)
        self._pending.resolve(reply.number, reply)

    def _receive_end(self, row: list, sender: str) -> None:
        """Record that a peer's trial has ended."""
        end = crash_rows.read_end(row)
        if end.parts:
            self._parts.finish(end)
            return
        self._sharing.merge(end.record)
        self._trials.finish(end.record.fingerprint, end.holder)
