"""Decides the reports of usage and sends them, while this node holds the lease.

A report is decided with a renewal of the lease and sent only once the store has that renewal.
"""

from collections.abc import Callable

from returns.result import Failure, Success
from springbridge.duties.lease import LeaseReading, Takeover
from springbridge.duties.usage import window_at
from springbridge.duties.usage_reports import Report, ReportLedger

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.duties import lease_content
from springbridge_node.gateway.duties.duty_platform import DUTY_CALL_S, DutyPlatform
from springbridge_node.gateway.duties.lease_candidates import LeaseCandidates
from springbridge_node.gateway.duties.lease_content import LeaseContent
from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper
from springbridge_node.gateway.duties.usage_sharing import UsageSharing

# Nodes beside the candidates that hear the true time at each renewal.
TIME_RECEIVERS = 8
# Reports that are sent one after another before anything else is looked at.
MOST_IN_A_STEP = 4


class UsageReporter:
    """The reports, as far as this node decides or knows them.

    Attributes:
      sent: Reports that the platform took from this node.
      missed: Reports that this node gave up.
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        sharing: UsageSharing,
        platform: DutyPlatform,
        candidates: LeaseCandidates,
        window_s: float,
        reports_usage: bool = True,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Keep the parts.

        Args:
          reports_usage: Whether the platform wants reports; without, nothing is decided.
        """
        self._keeper = keeper
        self._sharing = sharing
        self._platform = platform
        self._candidates = candidates
        self._window_s = window_s
        self._reports_usage = reports_usage
        self._clock = clock
        self._ledger = ReportLedger(window_s)
        self._wall_ahead_s: float | None = None
        self._kept_windows: set[int] = set()
        self._kept_next: int | None = None
        self._pending: set[int] = set()
        self._pending_next: int | None = None
        self.sent = 0
        self.missed = 0

    def taken(self, takeover: Takeover) -> None:
        """Go on from what the holder before this node kept."""
        before = takeover.before
        content = self._read(before)
        true_time = self._sharing.true_time
        if content.wall_ahead_s is not None:
            true_time.follow_holder(takeover.at_s, before.store_s + content.wall_ahead_s)
        self._wall_ahead_s = true_time.at(takeover.at_s) - before.store_s
        # What this node decided and the store never had is dropped: others may have decided since.
        own = [each for each in self._ledger.reports() if each.window in self._kept_windows]
        self._ledger = ReportLedger(self._window_s)
        self._ledger.adopt(content.reports, content.next_window)
        self._ledger.adopt([*self._sharing.heard.values(), *own], content.next_window)
        current = window_at(self._sharing.true_s(), self._window_s)
        earliest = min([current, *self._sharing.usage.windows()])
        self._ledger.begin(earliest)
        self._leave_out(takeover, content)
        left_out = self._ledger.skipped_without_report(
            earliest if content.next_window is None else content.next_window
        )
        self.missed += len(left_out)
        self._sharing.usage.restore(content.totals, content.kept_s)
        logs.event(
            "usage.continued",
            row_era=content.era,
            store_era=takeover.era,
            kept=[report.window for report in content.reports],
            told=sorted(self._sharing.heard),
            own=[report.window for report in own],
            left_out=left_out,
            next_window=self._ledger.next_window,
        )

    def _leave_out(self, takeover: Takeover, content: LeaseContent) -> None:
        """Pass over what may have been decided and forgotten.

        All that may be forgotten was decided before the store came back, and so before this node
        first saw the row as it came back.
        """
        if content.era >= takeover.era or _is_first(takeover):
            return
        if takeover.is_uninterrupted:
            self._ledger.adopt([], self._kept_next)
            return
        self._ledger.skip_until(self._sharing.true_time.at(takeover.first_seen_s))

    def _read(self, before: LeaseReading) -> LeaseContent:
        """Return what the holder before kept."""
        if before.row is None or not before.row.content:
            return LeaseContent()
        try:
            return lease_content.from_bytes(before.row.content, before.row.era)
        except (ValueError, TypeError, KeyError) as exc:
            logs.event("lease.unreadable", holder=before.row.holder, detail=type(exc).__name__)
            return LeaseContent()

    def content(self, era: int) -> bytes:
        """Decide what is due, and return what the next renewal keeps.

        Args:
          era: Era of the store that the renewal is for.
        """
        if not self._reports_usage:
            return lease_content.to_bytes(LeaseContent())
        true_s = self._sharing.true_s()
        for report in self._ledger.decide(self._sharing.usage, true_s):
            logs.event(
                "usage.decided",
                window=report.window,
                requests=sum(report.counts.values()),
                customers=len(report.counts),
            )
        for report in self._ledger.drop_too_late(true_s):
            self.missed += 1
            logs.event("usage.missed", window=report.window)
        self._pending = {report.window for report in self._ledger.reports()}
        self._pending_next = self._ledger.next_window
        self._sharing.usage.forget(self._ledger.next_window or 0)
        return lease_content.to_bytes(
            LeaseContent(
                kept_s=true_s,
                wall_ahead_s=self._wall_ahead_s,
                next_window=self._ledger.next_window,
                reports=tuple(self._ledger.reports()),
                totals={
                    window: self._sharing.usage.totals(window)
                    for window in self._sharing.usage.windows()
                },
                era=era,
            )
        )

    def renewed(self) -> None:
        """Note that the store has what content() returned, and tell the other candidates."""
        self._kept_windows, self._kept_next = self._pending, self._pending_next
        reports = [report for report in self._ledger.reports() if not report.sent]
        addresses = [member.peer_address for member in self._candidates.others()]
        self._sharing.tell_news(reports, addresses)
        self._sharing.tell_time(TIME_RECEIVERS)

    async def step(self) -> None:
        """Send the reports that are decided and not sent, each at most once."""
        unsent = self._ledger.unsent(self._sharing.true_s())
        kept = [report for report in unsent if report.window in self._kept_windows]
        for report in kept[:MOST_IN_A_STEP]:
            await self._send(report)

    async def _send(self, report: Report) -> None:
        """Send a report, unless this node may not."""
        with self._keeper.acting(DUTY_CALL_S) as credentials:
            if credentials is None:
                return
            result = await self._platform.report_usage(credentials, report)
        match result:
            case Success(_):
                self.sent += 1
                self._ledger.mark_sent(report.window)
                logs.event("usage.sent", window=report.window, token=credentials.token)
            case Failure(problem):
                logs.event("usage.not_sent", window=report.window, detail=problem.detail)


def _is_first(takeover: Takeover) -> bool:
    """Return whether nobody has held the lease before: no row, and no older copy that lost one."""
    return takeover.before.row is None and takeover.era == 0
