"""Decides the usage reports and sends them to the platform, while this node holds the lease.

A report is stored with a renewal of the lease and sent only once the store has acknowledged that
renewal, so that no later holder reports other counts for the same window.
"""

from collections.abc import Callable

from returns.result import Failure, Success
from springbridge.duties.lease import LeaseReading, Takeover
from springbridge.duties.usage import window_at
from springbridge.duties.usage_reports import Report, ReportLedger
from springbridge.item_reader import reason_of

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.duties import lease_content
from springbridge_node.gateway.duties.duty_platform import DUTY_CALL_S, DutyPlatform
from springbridge_node.gateway.duties.lease_candidates import LeaseCandidates
from springbridge_node.gateway.duties.lease_content import LeaseContent
from springbridge_node.gateway.duties.lease_keeper import LeaseKeeper
from springbridge_node.gateway.duties.usage_sharing import UsageSharing

# Number of further nodes that get the true time at each renewal, besides the candidates.
TIME_RECEIVERS = 8
# Most reports that are sent in a row in one step.
MAX_REPORTS_PER_STEP = 4


class UsageReporter:
    """The usage reports that this node has decided or learnt of.

    Attributes:
      sent: Number of reports that the platform accepted from this node.
      missed: Number of windows that this node gave up without a report.
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
        """Start without decided reports.

        Args:
          window_s: Length of a usage window, in seconds.
          reports_usage: Whether the platform wants reports; if not, none are decided.
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
        self._stored_next: int | None = None
        self.sent = 0
        self.missed = 0

    def continue_from(self, takeover: Takeover) -> None:
        """Continue from the state that the previous holder stored."""
        before = takeover.before
        content = self._read_content(before)
        true_time = self._sharing.true_time
        if content.wall_ahead_s is not None:
            true_time.follow_holder(takeover.at_s, before.store_s + content.wall_ahead_s)
        self._wall_ahead_s = true_time.at(takeover.at_s) - before.store_s
        # Reports that this node decided but never got stored are dropped: another holder may have
        # decided the same windows since.
        own = [each for each in self._ledger.reports() if each.window in self._kept_windows]
        row_reports = _reports_to_adopt(takeover, content)
        self._ledger = ReportLedger(self._window_s)
        self._ledger.adopt([*own, *self._sharing.received_reports.values()], content.next_window)
        self._ledger.adopt(row_reports, content.next_window)
        current = window_at(self._sharing.true_s(), self._window_s)
        earliest = min([current, *self._sharing.usage.windows()])
        self._ledger.begin(earliest)
        self._skip_lost_decisions(takeover, content)
        left_out = self._ledger.skipped_without_report(
            min(
                [earliest if content.next_window is None else content.next_window]
                + [each.window for each in content.reports if each not in row_reports]
            )
        )
        # The row that this node replaced is stored, and so are the decisions adopted from it.
        self._stored_next = self._ledger.next_window
        self.missed += len(left_out)
        self._sharing.usage.restore(content.totals, content.kept_s)
        logs.event(
            "usage.continued",
            row_era=content.era,
            store_era=takeover.era,
            kept=[report.window for report in content.reports],
            told=sorted(self._sharing.received_reports),
            own=[report.window for report in own],
            left_out=left_out,
            next_window=self._ledger.next_window,
        )

    def _skip_lost_decisions(self, takeover: Takeover, content: LeaseContent) -> None:
        """Skip windows whose reports may have been decided and then lost by a restore of the store.

        Any lost decision was made before the store was restored from the older copy, and so before
        this node first saw the restored row.
        """
        if content.era >= takeover.era or _is_first(takeover):
            return
        if takeover.is_uninterrupted:
            self._ledger.adopt([], self._kept_next)
            return
        self._ledger.skip_until(self._sharing.true_time.at(takeover.first_seen_s))

    def _read_content(self, before: LeaseReading) -> LeaseContent:
        """Return the state that the previous holder stored, or an empty one if it is unreadable."""
        if before.row is None or not before.row.content:
            return LeaseContent()
        try:
            return lease_content.from_bytes(before.row.content, before.row.era)
        except Exception as exc:
            # Another writer may have left anything; it must not keep a node from the duties.
            logs.event("lease.unreadable", holder=before.row.holder, detail=reason_of(exc))
            return LeaseContent()

    def decide_content(self, era: int) -> bytes:
        """Decide the reports that are due, and return the state to store with the next renewal.

        Args:
          era: Era of the store to which the renewal is written.
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
                stored_next=self._stored_next,
            )
        )

    def on_renewed(self) -> None:
        """Mark what decide_content() returned as stored, and send it to the other candidates."""
        self._kept_windows, self._kept_next = self._pending, self._pending_next
        self._stored_next = self._pending_next
        reports = [report for report in self._ledger.reports() if not report.sent]
        addresses = [member.peer_address for member in self._candidates.others()]
        self._sharing.send_reports(reports, addresses)
        self._sharing.send_true_time(TIME_RECEIVERS)

    async def step(self) -> None:
        """Try to send the stored reports that are still unsent, each at most once in this step."""
        unsent = self._ledger.unsent(self._sharing.true_s())
        kept = [report for report in unsent if report.window in self._kept_windows]
        for report in kept[:MAX_REPORTS_PER_STEP]:
            await self._send(report)

    async def _send(self, report: Report) -> None:
        """Send a report, unless the lease does not allow the call."""
        with self._keeper.credentials_for_call(DUTY_CALL_S) as credentials:
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


def _reports_to_adopt(takeover: Takeover, content: LeaseContent) -> tuple[Report, ...]:
    """Return the reports of the replaced row that are the only ones decided for their windows.

    A write that its holder gave up may take effect after the store was restored, since its
    condition names only a revision. Another holder may have decided the same windows before the
    restore. Of a row of an earlier era, only reports that an acknowledged write had stored count.
    """
    return content.reports if content.era >= takeover.era else content.stored_reports()


def _is_first(takeover: Takeover) -> bool:
    """Return whether this is the first holder ever: no row, and no restore that lost one."""
    return takeover.before.row is None and takeover.era == 0
