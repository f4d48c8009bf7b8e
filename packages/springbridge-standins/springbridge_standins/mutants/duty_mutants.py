"""Mutants of the duty lease, usage reports, scaling orders and restored store copies."""

from springbridge_standins.mutants.mutant import LIBRARY, NODE, PLATFORM, Mutant

LEASE = f"{LIBRARY}/duties/lease_test.py"
HISTORIES = f"{NODE}/gateway/duties/lease_histories_test.py"
USAGE_HISTORIES = f"{NODE}/gateway/duties/usage_histories_test.py"
REPORTER = f"{NODE}/gateway/duties/usage_reporter_test.py"
LATE_RENEWAL = f"{NODE}/gateway/duties/late_renewal_test.py"
SCALER = f"{NODE}/gateway/duties/scaler_test.py"
OLDER_COPY = f"{PLATFORM}/older_copy_test.py"
DUTIES = f"{PLATFORM}/duties_test.py"

DUTY_MUTANTS = (
    Mutant(
        "a lease: the holder stops when its tenure is over",
        f"{LIBRARY}/duties/lease.py",
        "return now_s + call_s <= self.until_s",
        "return True",
        HISTORIES,
    ),
    Mutant(
        "a lease: a successor waits for its full length",
        f"{LIBRARY}/duties/lease.py",
        "share = HANDED_ON_SHARE if _was_handed_on(sight.reading) else 1.0",
        "share = HANDED_ON_SHARE",
        LEASE,
    ),
    Mutant(
        "a lease: one that was handed on in an earlier era counts as held",
        f"{LIBRARY}/duties/lease.py",
        "return row is not None and row.handed_on and row.era == era_of(reading.stamp)",
        "return row is not None and row.handed_on",
        LEASE,
    ),
    Mutant(
        "a lease: a take-over under a revision of another era fails",
        f"{NODE}/gateway/duties/lease_keeper.py",
        "if era_of(written.stamp) != era_of(before.stamp):",
        "if False:",
        HISTORIES,
    ),
    Mutant(
        "a lease: a renewal under a revision of another era does not extend the tenure",
        f"{NODE}/gateway/duties/lease_keeper.py",
        "if era_of(written.stamp) != era_of(tenure.stamp):",
        "if False:",
        LATE_RENEWAL,
    ),
    Mutant(
        "a lease: it is handed on only when no call is in progress",
        f"{NODE}/gateway/duties/lease_keeper.py",
        "        self._tenure = None\n        while self._calls_in_progress:",
        "        while False:",
        f"{NODE}/gateway/duties/lease_keeper_test.py",
    ),
    Mutant(
        "usage: a report is sent again as it was decided",
        f"{LIBRARY}/duties/usage_reports.py",
        "known = self._reports.setdefault(report.window, report)",
        "known = self._reports[report.window] = report",
        f"{LIBRARY}/duties/usage_reports_test.py",
    ),
    Mutant(
        "usage: without a row, known reports still count as decided",
        f"{LIBRARY}/duties/usage_reports.py",
        "starts += [window + 1 for window in self._reports]",
        "starts += []",
        f"{LIBRARY}/duties/usage_reports_test.py",
    ),
    Mutant(
        "usage: after an older copy, windows that may have been decided are skipped",
        f"{NODE}/gateway/duties/usage_reporter.py",
        "if content.era >= takeover.era or _is_first(takeover):",
        "if True:",
        USAGE_HISTORIES,
    ),
    Mutant(
        "usage: a row that only names a new holder keeps the era of its content",
        f"{NODE}/gateway/duties/usage_reporter.py",
        "if content.era >= takeover.era or _is_first(takeover):",
        "if takeover.before.row is None or takeover.before.row.era >= takeover.era:",
        REPORTER,
    ),
    Mutant(
        "usage: after an older copy, a decision counts only if a write with it was acknowledged",
        f"{NODE}/gateway/duties/usage_reporter.py",
        "return content.reports if content.era >= takeover.era else content.stored_reports()",
        "return content.reports",
        LATE_RENEWAL,
    ),
    Mutant(
        "usage: what an acknowledged write had stored counts before what a row says",
        f"{NODE}/gateway/duties/usage_reporter.py",
        "self._ledger.adopt([*own, *self._sharing.received_reports.values()], content.next_window)",
        "self._ledger.adopt(row_reports, content.next_window)\n"
        "        self._ledger.adopt([*self._sharing.received_reports.values()], None)",
        REPORTER,
    ),
    Mutant(
        "usage: a holder succeeds itself only if no other holder was possible in between",
        f"{LIBRARY}/duties/lease.py",
        "return self.first_seen_s <= self.exclusive_until_s",
        "return self.exclusive_until_s > -math.inf",
        LEASE,
    ),
    Mutant(
        "orders: none before the list has been complete",
        f"{NODE}/gateway/duties/scaler.py",
        "if not domains or not self._is_list_complete(service, domains):",
        "if not domains:",
        SCALER,
    ),
    Mutant(
        "an older copy: lists of a later era replace those before",
        f"{PLATFORM}/store.py",
        "return rows.map(lambda found: replace(found, revision=stamp(self._era, found.revision)))",
        "return rows",
        f"{OLDER_COPY}::test_an_endpoint_that_starts_after_the_step_gets_requests",
    ),
)
