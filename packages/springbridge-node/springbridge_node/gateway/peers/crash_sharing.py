"""Shares crash records: which requests ran when endpoints ended, and which have completed since.

An endpoint that ends has dozens of requests, most of which are not seen again. Their first crash is
reported only to the trial coordinators of the service, which combine the reports of several nodes.
The record of a request with two crashes goes to all nodes: at once to MAX_PUSHED_PEERS, and from
each node that receives it to some peers at each of its next heartbeats, which makes up for lost
datagrams. A node that starts fetches these records before its first configuration, and gets
what is new since then from the nodes that rank first for it. A peer that still counts crashes from
before a successful completion it does not know of is sent the record.

The records of requests and those of parts of prompts are shared by one `CrashSharing` each. An
answer that a node got for a part before its crashes speaks for it (recent_successes.py), so a node
that is told of the crashes adds it to the record.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

from springbridge.crash_records import NEVER_S, CrashRecord, CrashRecords, CrashReport
from springbridge.membership import Membership
from springbridge.quarantine import SUSPECT_CRASHES

from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import MAX_PUSHED_PEERS
from springbridge_node.gateway.peers.new_peers import NewPeers
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators

# Seconds for which records are batched into one datagram: the requests of an endpoint that ends
# fail at the same moment.
BATCH_DELAY_S = 0.005
# Maximum number of records in one datagram. At about 60 bytes for each crash a datagram stays
# within a few kB.
RECORDS_PER_DATAGRAM = 12
# Seconds for which a node resends a record that was new to it. Six heartbeat intervals, within
# which the record reaches a fleet of hundreds even if some datagrams are lost.
RESEND_S = 1.5
# The same for a record of a part of prompts, and how many of them go out with one heartbeat, those
# with the most crashes first. An endpoint that ends has several parts for each of its requests; a
# cause is in the most crashes.
PART_RESEND_S, MAX_RESENT_PARTS = 0.5, 4
Later = Callable[[float, Callable[[], None]], object]


def _call_later(seconds: float, work: Callable[[], None]) -> None:
    """Schedule a function on the running event loop."""
    asyncio.get_running_loop().call_later(seconds, work)


class CrashSharing:
    """Sends crash records to peers and merges those of peers."""

    def __init__(
        self,
        records: CrashRecords,
        membership: Membership,
        coordinators: TrialCoordinators,
        later: Later = _call_later,
        kind: Kind = Kind.CRASHES,
        succeeded_s: Callable[[str], float] = lambda name: NEVER_S,
        resend_s: float = RESEND_S,
        max_resent: int | None = None,
    ) -> None:
        """Start without peers; nothing is sent until connect() is called.

        Args:
          later: Schedules a function after a delay in seconds.
          kind: Type of the datagrams that carry these records.
          succeeded_s: Returns when this node last had a success of a record's name, on the clock of
            the records; NEVER_S if not lately.
          resend_s: Seconds for which a record is resent that was new to this node.
          max_resent: Maximum number of records that are resent with one heartbeat; None for all.
        """
        self._later = later
        self._resend_s = resend_s
        self._max_resent = max_resent
        self._kind = kind
        self._succeeded_s = succeeded_s
        self._records = records
        self._membership = membership
        self._coordinators = coordinators
        self._datagrams: PeerDatagrams | None = None
        self._reports: dict[str, set[str]] = {}
        self._pushes: set[str] = set()
        self._resend_until_s: dict[str, float] = {}
        self._new_peers = NewPeers(membership)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending records to peers and receiving theirs."""
        self._datagrams = datagrams
        datagrams.handle(self._kind, self._receive)

    def share(self, fingerprint: str, service: str, was_known: bool = False) -> None:
        """Send a record that this node has changed to the peers that need it.

        Args:
          was_known: Whether all peers had the record before, so that all need the change.
        """
        if was_known or _is_suspect(self._records.find(fingerprint)):
            self._add_to_batch(self._pushes, fingerprint)
            self._mark_recent(fingerprint)
        else:
            self._add_report(fingerprint, service)

    def _add_report(self, fingerprint: str, service: str) -> None:
        """Send a record to the trial coordinators of a service with the next batch."""
        self._add_to_batch(self._reports.setdefault(service, set()), fingerprint)

    def _add_to_batch(self, names: set[str], name: str) -> None:
        """Add a name to those that are sent next; the first one schedules the batch."""
        is_first = not self._pushes and not any(self._reports.values())
        names.add(name)
        if is_first and self._datagrams is not None:
            self._later(BATCH_DELAY_S, self._flush)

    def share_success(self, name: str, service: str) -> None:
        """Send a record that a success has changed to coordinators, and with the next heartbeats.

        Unlike share() at no further cost to all peers at once: many nodes may have a success of the
        same record in the same second.
        """
        self._mark_recent(name)
        self._add_report(name, service)

    async def beat(self) -> None:
        """Resend records that were new recently, and send suspects to new peers."""
        now_s = self._records.now_s()
        self._resend_until_s = {
            name: until_s for name, until_s in self._resend_until_s.items() if until_s > now_s
        }
        if self._resend_until_s:
            self._send(self._to_resend(), self._membership.gossip_targets())
        self._send_to_new_peers()

    def _to_resend(self) -> list[str]:
        """Return the names of the records that go out with this heartbeat."""
        names = list(self._resend_until_s)
        if self._max_resent is None or len(names) <= self._max_resent:
            return names
        return sorted(names, key=self._crash_count, reverse=True)[: self._max_resent]

    def _crash_count(self, name: str) -> int:
        """Return how many crashes of a record are known, whether they still count or not."""
        record = self._records.find(name)
        return len(record.crashes) if record else 0

    def merge(self, record: CrashReport) -> None:
        """Merge a record that a peer has sent within another message."""
        if self._records.merge(record) and _is_suspect(self._records.find(record.fingerprint)):
            self._mark_recent(record.fingerprint)

    def suspects(self) -> list[CrashReport]:
        """Return the records of all requests under suspicion, which a node that starts needs."""
        reports = map(self._records.report, self._suspect_names())
        return [report for report in reports if report is not None]

    def _suspect_names(self) -> list[str]:
        """Return the fingerprints of all requests under suspicion."""
        return [each.fingerprint for each in self._records.all() if _is_suspect(each)]

    def _send_to_new_peers(self) -> None:
        """Send the records of all suspect requests to peers that are new since the last beat."""
        new = self._new_peers.detect()
        if not new:
            return
        names = self._suspect_names()
        if names:
            self._send(names, new)

    def _flush(self) -> None:
        """Send the batched records."""
        reports, self._reports = self._reports, {}
        pushes, self._pushes = self._pushes, set()
        for service, names in reports.items():
            self._send(names, self._coordinators.addresses(service))
        if pushes:
            self._send(pushes, self._datagrams.sample_peers(MAX_PUSHED_PEERS))

    def _send(self, names: Iterable[str], receivers: list[str]) -> None:
        """Send records to peers."""
        records = [self._records.report(name) for name in names]
        rows = [crash_rows.record_row(record) for record in records if record is not None]
        for start in range(0, len(rows), RECORDS_PER_DATAGRAM):
            self._datagrams.send(self._kind, rows[start : start + RECORDS_PER_DATAGRAM], receivers)

    def _receive(self, rows: list, sender: str) -> None:
        """Merge a peer's records, and send back those in which it has missed an acquittal."""
        outdated = [
            record.fingerprint
            for record in map(crash_rows.read_record, rows)
            if self._merge_received(record)
        ]
        if outdated:
            self._send(outdated, [sender])

    def _merge_received(self, record: CrashReport) -> bool:
        """Merge one record, and return whether the peer has missed an acquittal."""
        before = self._records.find(record.fingerprint)
        was_suspect = _is_suspect(before)
        is_new = self._records.merge(record)
        after = self._records.find(record.fingerprint)
        if after is None:
            return False
        if is_new and _is_suspect(after):
            self._add_own_success(after)
            self._mark_recent(record.fingerprint)
            if not was_suspect and len(record.crashes) < SUSPECT_CRASHES:
                # Two nodes saw one crash each, and this node is the first to know of both.
                self._send([record.fingerprint], self._datagrams.sample_peers(MAX_PUSHED_PEERS))
        elif is_new and was_suspect:
            self._mark_recent(record.fingerprint)
        return _missed_acquittal(record, after, self._records.now_s())

    def _add_own_success(self, record: CrashRecord) -> None:
        """Add this node's last success to a record that peers sent, if that is the latest one."""
        succeeded_s = self._succeeded_s(record.fingerprint)
        if succeeded_s > record.acquitted_s:
            ago_s = self._records.now_s() - succeeded_s
            self._records.merge(CrashReport(record.fingerprint, acquitted_ago_s=ago_s))

    def _mark_recent(self, fingerprint: str) -> None:
        """Resend a record with the next heartbeats."""
        self._resend_until_s[fingerprint] = self._records.now_s() + self._resend_s


def _is_suspect(record: CrashRecord | None) -> bool:
    """Return whether a request is a suspect, whose record goes to all nodes."""
    return record is not None and len(record.counted) >= SUSPECT_CRASHES


def _missed_acquittal(record: CrashReport, known: CrashRecord, now_s: float) -> bool:
    """Return whether a peer counts crashes that an acquittal known here has cleared."""
    acquitted_s = (
        float("-inf") if record.acquitted_ago_s is None else now_s - record.acquitted_ago_s
    )
    named: Collection[int] = {crash.crash_id for crash in record.crashes}
    return any(
        name in named and acquitted_s < crash.at_s <= known.acquitted_s
        for name, crash in known.crashes.items()
    )
