"""Tells peers which requests were running when endpoints ended, and which came to a good end.

An endpoint that ends has dozens of requests, most of which are never heard of again. Their first
crash is told to the trial coordinators of the service alone, who add up what several nodes saw. A
request with two crashes is told to all: at once to PUSHED_PEERS, and by each node that hears of it
to some peers at each of its next beats, so that lost datagrams do no harm. A node that starts is
told by those that come first in a ranking for it. A peer that counts crashes after a good end that
it has not heard of is told of that.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

from springbridge.crash_records import CrashRecord, CrashRecords, CrashReport
from springbridge.membership import Membership
from springbridge.quarantine import SUSPECT_CRASHES

from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.gossip import PUSHED_PEERS
from springbridge_node.gateway.peers.greeting import Greeting
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators

# Seconds for which news are gathered into one datagram: the requests of an endpoint break within
# the same moment.
GATHER_S = 0.005
# Records in one datagram. At about 60 bytes for each crash a datagram stays under some kB.
RECORDS_PER_DATAGRAM = 12
# Seconds for which a node passes on a record that was news to it. Six beats, in which a fleet of
# hundreds is reached though some of the datagrams are lost.
NEWS_S = 1.5
Later = Callable[[float, Callable[[], None]], object]


def _call_later(seconds: float, work: Callable[[], None]) -> None:
    """Call a function after some seconds of the running event loop."""
    asyncio.get_running_loop().call_later(seconds, work)


class CrashSharing:
    """Spreads the records of crashes."""

    def __init__(
        self,
        records: CrashRecords,
        membership: Membership,
        coordinators: TrialCoordinators,
        later: Later = _call_later,
    ) -> None:
        """Keep the parts.

        Args:
          later: Calls a function after some seconds.
        """
        self._later = later
        self._records = records
        self._membership = membership
        self._coordinators = coordinators
        self._datagrams: PeerDatagrams | None = None
        self._reports: dict[str, set[str]] = {}
        self._pushes: set[str] = set()
        self._news_until_s: dict[str, float] = {}
        self._greeting = Greeting(membership)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start to tell peers and to take in what they tell."""
        self._datagrams = datagrams
        datagrams.handle(Kind.CRASHES, self._take)

    def spread(self, fingerprint: str, service: str, was_known: bool = False) -> None:
        """Tell peers of a record that this node has changed.

        Args:
          was_known: Whether all peers knew of it before, so that they have to hear of the change.
        """
        is_first = not self._reports and not self._pushes
        if was_known or _concerns_all(self._records.find(fingerprint)):
            self._pushes.add(fingerprint)
            self._is_news(fingerprint)
        else:
            self._reports.setdefault(service, set()).add(fingerprint)
        if is_first and self._datagrams is not None:
            self._later(GATHER_S, self._flush)

    async def beat(self) -> None:
        """Pass on what was news lately, and tell peers that are new."""
        now_s = self._records.now_s()
        self._news_until_s = {
            name: until_s for name, until_s in self._news_until_s.items() if until_s > now_s
        }
        if self._news_until_s:
            self._send(self._news_until_s, self._membership.gossip_targets())
        self._greet()

    def merge(self, told: CrashReport) -> None:
        """Take in what a peer says of a request in another message."""
        if self._records.merge(told) and _concerns_all(self._records.find(told.fingerprint)):
            self._is_news(told.fingerprint)

    def _greet(self) -> None:
        """Tell peers that were not there at the last beat of the records that concern all."""
        new = self._greeting.new_peers()
        if not new:
            return
        names = [each.fingerprint for each in self._records.all() if _concerns_all(each)]
        if names:
            self._send(names, new)

    def _flush(self) -> None:
        """Send what was gathered."""
        reports, self._reports = self._reports, {}
        pushes, self._pushes = self._pushes, set()
        for service, names in reports.items():
            self._send(names, self._coordinators.addresses(service))
        if pushes:
            self._send(pushes, self._datagrams.sample_peers(PUSHED_PEERS))

    def _send(self, names: Iterable[str], receivers: list[str]) -> None:
        """Send records to peers."""
        told = [self._records.report(name) for name in names]
        rows = [crash_rows.record_row(record) for record in told if record is not None]
        for start in range(0, len(rows), RECORDS_PER_DATAGRAM):
            self._datagrams.send(
                Kind.CRASHES, rows[start : start + RECORDS_PER_DATAGRAM], receivers
            )

    def _take(self, rows: list, sender: str) -> None:
        """Take in what a peer tells."""
        outdated = [
            told.fingerprint for told in map(crash_rows.read_record, rows) if self._take_one(told)
        ]
        if outdated:
            self._send(outdated, [sender])

    def _take_one(self, told: CrashReport) -> bool:
        """Take in one record, and return whether the peer has missed a good end."""
        before = self._records.find(told.fingerprint)
        concerned_all = _concerns_all(before)
        is_news = self._records.merge(told)
        after = self._records.find(told.fingerprint)
        if after is None:
            return False
        if is_news and _concerns_all(after):
            self._is_news(told.fingerprint)
            if not concerned_all and len(told.crashes) < SUSPECT_CRASHES:
                # Two nodes saw one crash each, and only here they come together.
                self._send([told.fingerprint], self._datagrams.sample_peers(PUSHED_PEERS))
        elif is_news and concerned_all:
            self._is_news(told.fingerprint)
        return _missed_good_end(told, after, self._records.now_s())

    def _is_news(self, fingerprint: str) -> None:
        """Pass a record on for NEWS_S."""
        self._news_until_s[fingerprint] = self._records.now_s() + NEWS_S


def _concerns_all(record: CrashRecord | None) -> bool:
    """Return whether all nodes have to know of a request."""
    return record is not None and len(record.counted) >= SUSPECT_CRASHES


def _missed_good_end(told: CrashReport, known: CrashRecord, now_s: float) -> bool:
    """Return whether a peer counts crashes that a good end known here has acquitted."""
    told_s = float("-inf") if told.acquitted_ago_s is None else now_s - told.acquitted_ago_s
    named: Collection[int] = {crash.crash_id for crash in told.crashes}
    return any(
        name in named and told_s < crash.at_s <= known.acquitted_s
        for name, crash in known.crashes.items()
    )
