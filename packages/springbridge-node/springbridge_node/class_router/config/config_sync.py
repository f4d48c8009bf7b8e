"""Synchronizes the operators' table from the platform's table service and from peers.

The node reads the version once a second, and then only the changes that it lacks. It requests
changes from a peer as soon as a digest shows that the peer has a higher version. Versions only
grow. Owns the table in force; springbridge.classes.table.freshness decides whether it is fresh
enough to serve requests.
"""

import asyncio
from collections.abc import Callable

import orjson
from returns.result import Failure, Success
from springbridge.classes.entities import Table
from springbridge.classes.invariants import Invariants
from springbridge.classes.ports import TableStore
from springbridge.classes.table.build import build, updated
from springbridge.classes.table.changes import Change, Snapshot, apply, decode_change, encode_change
from springbridge.classes.table.freshness import NEVER_S, Confirmation, may_serve
from springbridge.membership import Membership

from springbridge_node import logs
from springbridge_node.class_router.peers.messages import ConfigDelta, ConfigPull, Message

INVARIANT_VERSION_GROWS = "table version only grows"
# Interval of polling the platform's version. Bound: a confirmation is fresh for 3 s and must
# outlast one read that times out (1 s + 0.8 s + 1 s). At the planned size 380 nodes make 380 reads
# a second.
POLL_INTERVAL_S = 1.0
# Minimum time between two requests to peers for missing changes, since the next digest may arrive
# before the answer.
PULL_INTERVAL_S = POLL_INTERVAL_S / 4
# Changes kept for peers that lag, and the most that are read singly; beyond it all rows are read.
# A little over an hour's changes at 4,200 a day.
MAX_KEPT_CHANGES = 200
# How long the result of may_serve() is cached: computing it scans all members, which is too costly
# for each request.
DECISION_TTL_S = 0.1


class ConfigSync:
    """The operators' table on this node.

    Attributes:
      snapshot: The rows in force, with their version.
      table: The records built from these rows; invalid rows are left out.
      confirmation: When the version in force was last known to be the newest.
    """

    def __init__(
        self,
        store: TableStore,
        membership: Membership,
        clock: Callable[[], float],
        send: Callable[[str, Message], None],
        invariants: Invariants,
    ):
        """Start with an empty table at version 0, under which nothing is served."""
        self.snapshot = Snapshot(0, {})
        self.table = Table()
        self.confirmation = Confirmation()
        self._store = store
        self._membership = membership
        self._clock = clock
        self._send = send
        self._invariants = invariants
        self._recent_changes: list[Change] = []
        self._pull_sent_s = -POLL_INTERVAL_S
        self._may_serve_checked_s = -POLL_INTERVAL_S
        self._may_serve = False

    async def run(self) -> None:
        """Poll the platform's table until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the newest version once and apply what is missing."""
        read_start_s = self._clock()
        match await self._store.version():
            case Success(version):
                self.confirmation.table_out = False
                if version > self.snapshot.version:
                    await self._catch_up(version)
                if version <= self.snapshot.version:
                    self.confirmation.confirmed(version, read_start_s)
            case Failure(_):
                # Not logged: heartbeats and status show table_out, and without fresh confirmations
                # the node refuses requests with CONFIG_NOT_FRESH.
                self.confirmation.table_out = True

    async def _catch_up(self, version: int) -> None:
        """Read the missing changes, or all rows if more than MAX_KEPT_CHANGES are missing."""
        missing = version - self.snapshot.version
        if self.snapshot.version and missing <= MAX_KEPT_CHANGES:
            match await self._store.changes(self.snapshot.version, missing):
                case Success(changes):
                    self.apply_changes(changes)
                    return
        # A failure leaves the version behind and unconfirmed; the next poll tries again.
        match await self._store.snapshot():
            case Success(snapshot):
                self.install_snapshot(snapshot)

    def apply_changes(self, changes: list[Change]) -> None:
        """Apply changes that directly follow the version in force; others are ignored."""
        for change in changes:
            if change.version == self.snapshot.version + 1:
                rows = {edit.key: edit.after for edit in change.edits}
                table = updated(self.table, change.version, rows)
                self._install(apply(self.snapshot, change), table)
                self._recent_changes.append(change)
        self._recent_changes = self._recent_changes[-MAX_KEPT_CHANGES:]

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a newer snapshot as the table in force; an older one is ignored."""
        if snapshot.version > self.snapshot.version:
            built = build(snapshot.version, snapshot.rows)
            self._install(snapshot, built.table)
            for problem in built.problems:
                logs.event("table.row_left_out", row=problem.source)

    def _install(self, snapshot: Snapshot, table: Table) -> None:
        """Replace the table in force by a newer one."""
        newer = table.version > self.table.version
        self._invariants.check(INVARIANT_VERSION_GROWS, newer)
        self.snapshot = snapshot
        self.table = table
        self.confirmation.confirmed(snapshot.version, NEVER_S)
        logs.event("table.in_force", version=snapshot.version)

    def may_serve(self) -> bool:
        """Return whether this node may serve under the table that it holds.

        The result is cached for DECISION_TTL_S. A node that was suspended computes it again when it
        resumes, since its clock includes the suspension.
        """
        now_s = self._clock()
        if now_s - self._may_serve_checked_s > DECISION_TTL_S:
            peers = self._membership.reachable()
            majority = self._membership.sees_majority()
            self._may_serve = may_serve(self.confirmation, now_s, majority, peers)
            self._may_serve_checked_s = now_s
        return self._may_serve

    def pull_from_peers(self) -> None:
        """Adopt peers' confirmations, and request missing changes from a peer that is ahead."""
        now_s = self._clock()
        peers = self._membership.reachable()
        self.confirmation.learn_from(peers, now_s)
        ahead = [peer for peer in peers if peer.config_version > self.snapshot.version]
        if ahead and now_s - self._pull_sent_s > PULL_INTERVAL_S:
            self._pull_sent_s = now_s
            newest = max(ahead, key=lambda peer: peer.config_version)
            pull = ConfigPull(self._membership.me.incarnation, self.snapshot.version)
            self._send(newest.incarnation, pull)

    def answer_pull(self, pull: ConfigPull) -> None:
        """Send a peer the changes after its version, or a snapshot if they are no longer kept."""
        if pull.after >= self.snapshot.version:
            return
        changes = [change for change in self._recent_changes if change.version > pull.after]
        if changes and changes[0].version == pull.after + 1:
            delta = ConfigDelta(tuple(encode_change(change) for change in changes), b"")
        else:
            delta = ConfigDelta((), orjson.dumps(self.snapshot))
        self._send(pull.node, delta)

    def apply_delta(self, delta: ConfigDelta) -> None:
        """Apply the snapshot or the changes that a peer sent."""
        if delta.snapshot:
            self.install_snapshot(Snapshot(**orjson.loads(delta.snapshot)))
        self.apply_changes([decode_change(data) for data in delta.changes])
