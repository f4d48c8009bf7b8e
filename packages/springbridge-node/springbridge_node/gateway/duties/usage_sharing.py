"""Counts the requests that endpoints began for this node, and sends the counts to the candidates.

The candidates for the lease get running totals, so that a lost message is made up for by the next
one: a count is resent for RESEND_S after it changed, and all counts of a window for SETTLE_S after
its end. A new candidate gets all counts that are kept.
"""

from collections.abc import Callable, Iterator

from springbridge.duties.demand import FleetDemand, request_work
from springbridge.duties.true_time import TrueTime
from springbridge.duties.usage import (
    KEPT_S,
    FleetUsage,
    OwnUsage,
    ReportedUsage,
    WindowCounts,
    window_at,
    window_end_s,
)
from springbridge.duties.usage_reports import SETTLE_S, Report
from springbridge.routing.records import Admitted

from springbridge_node.clock import now_s, wall_s
from springbridge_node.gateway.duties import duty_rows
from springbridge_node.gateway.duties.lease_candidates import LeaseCandidates
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams

# Seconds between two messages. The counts of this time are lost if the node crashes.
SEND_INTERVAL_S = 0.5
# Seconds for which a changed count is resent: three messages.
RESEND_S = 1.6
# Most customers in one datagram, some 20 bytes each.
CUSTOMERS_PER_DATAGRAM = 100


class UsageSharing:
    """The usage counts of this node, and those that it received as a candidate.

    Attributes:
      true_time: This node's estimate of the time of day.
      usage: Requests of all nodes whose counts were received.
      demand: Work of all nodes whose counts were received.
      received_reports: Reports that holders decided and sent to this node, by window.
    """

    def __init__(
        self,
        candidates: LeaseCandidates,
        incarnation: str,
        window_s: float,
        clock: Callable[[], float] = now_s,
        wall: Callable[[], float] = wall_s,
    ) -> None:
        """Start without counts."""
        self._candidates = candidates
        self._incarnation = incarnation
        self._clock = clock
        self._wall = wall
        self.true_time = TrueTime(clock(), wall())
        self._started_s = self.true_s()
        self._own = OwnUsage(window_s)
        self._changed_s: dict[tuple[int, str], float] = {}
        self._work: dict[str, int] = {}
        self._told_to: set[str] = set()
        self._datagrams: PeerDatagrams | None = None
        self.usage = FleetUsage()
        self.demand = FleetDemand(clock)
        self.received_reports: dict[int, Report] = {}

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Start sending and receiving counts."""
        self._datagrams = datagrams
        datagrams.handle(Kind.USAGE, self._receive_counts)
        datagrams.handle(Kind.DUTY_NEWS, self._receive_reports)

    def true_s(self) -> float:
        """Return the current true time, in seconds since the start of 1970."""
        return self.true_time.at(self._clock())

    def count_work(self, admitted: Admitted) -> None:
        """Add the work of a request that is sent to endpoints, in prompt tokens."""
        arrival = admitted.arrival
        work = request_work(arrival.prompt_tokens, arrival.answer_tokens)
        self._work[admitted.service.name] = self._work.get(admitted.service.name, 0) + work

    def count_request(self, customer: str) -> None:
        """Count a request of a customer that an endpoint began."""
        true_s = self.true_s()
        self._own.began(customer, true_s)
        window = window_at(true_s, self._own.window_s)
        self._changed_s[(window, customer)] = self._clock()

    async def step(self) -> None:
        """Send the candidates the counts that they may lack, and expire old ones."""
        self.true_time.update(self._clock(), self._wall())
        self._expire()
        receivers = {member.incarnation: member for member in self._candidates.others()}
        new = receivers.keys() - self._told_to
        self._told_to = set(receivers)
        news = list(self._recent_counts())
        everything = self._own.windows()
        self._send_counts(news, [receivers[name].peer_address for name in receivers.keys() - new])
        self._send_counts(everything, [receivers[name].peer_address for name in new])
        for each in everything:
            told = ReportedUsage(self._incarnation, self._started_s, each.window, each.counts)
            self.usage.merge(told)
        for service, total in self._work.items():
            self.demand.record_total(self._incarnation, service, total)

    def send_reports(self, reports: list[Report], addresses: list[str]) -> None:
        """Send nodes the true time and the decided reports."""
        if self._datagrams is not None and addresses:
            self._datagrams.send(
                Kind.DUTY_NEWS, duty_rows.holder_rows(self.true_s(), reports), addresses
            )

    def send_true_time(self, nodes: int) -> None:
        """Send the true time to some nodes, chosen at random."""
        if self._datagrams is not None:
            self.send_reports([], self._datagrams.sample_peers(nodes))

    def _recent_counts(self) -> Iterator[WindowCounts]:
        """Return the counts that candidates may lack, by window."""
        recent_s, true_s = self._clock() - RESEND_S, self.true_s()
        for each in self._own.windows():
            over_s = true_s - window_end_s(each.window, self._own.window_s)
            if 0 <= over_s < SETTLE_S:
                yield each
                continue
            changed = {
                name: count
                for name, count in each.counts.items()
                if self._changed_s.get((each.window, name), recent_s) > recent_s
            }
            if changed:
                yield WindowCounts(each.window, changed)

    def _send_counts(self, windows: list[WindowCounts], addresses: list[str]) -> None:
        """Send counts and the total work, in as many datagrams as needed."""
        if self._datagrams is None or not addresses or not (windows or self._work):
            return
        parts = [part for each in windows for part in _split(each)]
        for part in parts or [duty_rows.NO_COUNTS]:
            told = duty_rows.usage_rows(self._incarnation, self._started_s, part, self._work)
            self._datagrams.send(Kind.USAGE, told, addresses)

    def _receive_counts(self, rows: list, sender: str) -> None:
        """Merge the counts that a node sent."""
        told, work = duty_rows.read_usage(rows)
        if told is not None:
            self.usage.merge(told)
        for service, total in work.tokens.items():
            self.demand.record_total(work.incarnation, service, total)

    def _receive_reports(self, rows: list, sender: str) -> None:
        """Apply the true time and the reports that the holder sent."""
        news = duty_rows.read_holder_update(rows)
        self.true_time.follow_holder(self._clock(), news.true_s)
        for report in news.reports:
            self.received_reports.setdefault(report.window, report)

    def _expire(self) -> None:
        """Drop counts and reports that are too old to be used."""
        true_s = self.true_s()
        self._own.forget(true_s)
        first = window_at(true_s - KEPT_S, self._own.window_s)
        self.usage.forget(first)
        self.received_reports = {
            window: each for window, each in self.received_reports.items() if window >= first
        }
        self.demand.drop_old_samples()
        recent_s = self._clock() - RESEND_S
        self._changed_s = {key: at_s for key, at_s in self._changed_s.items() if at_s > recent_s}


def _split(whole: WindowCounts) -> Iterator[WindowCounts]:
    """Split the counts of a window into parts that fit into a datagram."""
    items = list(whole.counts.items())
    for start in range(0, len(items), CUSTOMERS_PER_DATAGRAM):
        yield WindowCounts(whole.window, dict(items[start : start + CUSTOMERS_PER_DATAGRAM]))
