"""Keeps the operators' table in step with the platform's, directly or by way of peers.

The node reads the version once a second, then only the changes that it lacks. It asks a peer for
changes as soon as a digest shows that the peer has a higher version. Versions only ever grow.
Owns the table in force; when that is fresh enough to serve is decided in
springbridge.classes.table.freshness.
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
# Interval of reading the platform's version. Bound: one read that times out must not cost the 3 s
# of freshness (1 s + 0.8 s + 1 s). At the planned size 380 nodes make 380 reads a second.
POLL_S = 1.0
# Shortest time between two requests to peers for missing changes, since the next digest may come
# before the answer.
PULL_INTERVAL_S = POLL_S / 4
# Changes kept for peers that lag, and the most that are read singly before all rows are read anew.
# A little over an hour's changes at 4,200 a day.
CHANGES_KEPT = 200
# How long a decision to serve stands.
# Deciding anew looks at all members, which is too much for each request.
DECISION_S = 0.1


class ConfigSync:
    """The operators' table on this node.

    Attributes:
      snapshot: The rows in force, with their version.
      table: The records built from them; rows that make no valid record are left out.
      confirmation: When the version was last known to be the newest.
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
        self._recent: list[Change] = []
        self._pulled_s = -POLL_S
        self._decided_s = -POLL_S
        self._decision = False

    async def run(self) -> None:
        """Read the platform's table until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_S)

    async def refresh(self) -> None:
        """Read the newest version once and apply what is missing."""
        asked_s = self._clock()
        match await self._store.version():
            case Success(version):
                self.confirmation.table_out = False
                if version > self.snapshot.version:
                    await self._catch_up(version)
                if version <= self.snapshot.version:
                    self.confirmation.confirmed(version, asked_s)
            case Failure(_):
                # Not logged: heartbeats and status carry table_out, and without fresh confirmations
                # the node stops serving with a code of its own.
                self.confirmation.table_out = True

    async def _catch_up(self, version: int) -> None:
        """Read the changes that are missing, or all rows when there are too many."""
        missing = version - self.snapshot.version
        if self.snapshot.version and missing <= CHANGES_KEPT:
            match await self._store.changes(self.snapshot.version, missing):
                case Success(changes):
                    self.apply_changes(changes)
                    return
        # A failure leaves the version behind and unconfirmed; the next poll tries again.
        match await self._store.snapshot():
            case Success(snapshot):
                self.put_snapshot(snapshot)

    def apply_changes(self, changes: list[Change]) -> None:
        """Apply changes that follow the version in force; others are ignored."""
        for change in changes:
            if change.version == self.snapshot.version + 1:
                rows = {edit.key: edit.after for edit in change.edits}
                table = updated(self.table, change.version, rows)
                self._put_in_force(apply(self.snapshot, change), table)
                self._recent.append(change)
        self._recent = self._recent[-CHANGES_KEPT:]

    def put_snapshot(self, snapshot: Snapshot) -> None:
        """Put a newer snapshot in force; an older one is ignored."""
        if snapshot.version > self.snapshot.version:
            built = build(snapshot.version, snapshot.rows)
            self._put_in_force(snapshot, built.table)
            for problem in built.problems:
                logs.event("table.row_left_out", row=problem.source)

    def _put_in_force(self, snapshot: Snapshot, table: Table) -> None:
        """Put a newer table in force."""
        newer = table.version > self.table.version
        self._invariants.check(INVARIANT_VERSION_GROWS, newer)
        self.snapshot = snapshot
        self.table = table
        self.confirmation.confirmed(snapshot.version, NEVER_S)
        logs.event("table.in_force", version=snapshot.version)

    def may_serve(self) -> bool:
        """Return whether this node may serve under the table that it holds.

        A decision stands for DECISION_S: to look at all members for each request costs too much. A
        node that was frozen decides anew when it wakes up, since its clock went on.
        """
        now_s = self._clock()
        if now_s - self._decided_s > DECISION_S:
            peers = self._membership.reachable()
            majority = self._membership.sees_majority()
            self._decision = may_serve(self.confirmation, now_s, majority, peers)
            self._decided_s = now_s
        return self._decision

    def compare_with_peers(self) -> None:
        """Take over peers' confirmations, and ask one of them for changes that are missing."""
        now_s = self._clock()
        peers = self._membership.reachable()
        self.confirmation.learn_from(peers, now_s)
        ahead = [peer for peer in peers if peer.config_version > self.snapshot.version]
        if ahead and now_s - self._pulled_s > PULL_INTERVAL_S:
            self._pulled_s = now_s
            newest = max(ahead, key=lambda peer: peer.config_version)
            pull = ConfigPull(self._membership.me.incarnation, self.snapshot.version)
            self._send(newest.incarnation, pull)

    def answer_pull(self, pull: ConfigPull) -> None:
        """Send a peer the changes after its version, or everything."""
        if pull.after >= self.snapshot.version:
            return
        changes = [change for change in self._recent if change.version > pull.after]
        if changes and changes[0].version == pull.after + 1:
            delta = ConfigDelta(tuple(encode_change(change) for change in changes), b"")
        else:
            delta = ConfigDelta((), orjson.dumps(self.snapshot))
        self._send(pull.node, delta)

    def take_delta(self, delta: ConfigDelta) -> None:
        """Apply what a peer sent."""
        if delta.snapshot:
            self.put_snapshot(Snapshot(**orjson.loads(delta.snapshot)))
        self.apply_changes([decode_change(data) for data in delta.changes])
