"""Runs all periodic jobs of a node from one timer, since each wake-up costs processor time."""

import asyncio
import itertools
from dataclasses import dataclass

from springbridge.classes.limits import LEASE_S
from springbridge.classes.slots.slot_client import SlotClient
from springbridge.membership import GOSSIP_INTERVAL_S, Membership

from springbridge_node import logs
from springbridge_node.class_router.endpoints.scheduler_host import TICK_INTERVAL_S, SchedulerHost
from springbridge_node.class_router.endpoints.scheduler_roles import SchedulerRoles
from springbridge_node.class_router.peers.digest_sender import DigestSender
from springbridge_node.class_router.requests.limit_gate import LimitGate
from springbridge_node.clock import SuspensionWatch
from springbridge_node.periodic import guarded

# Interval of renewing leases in use: twice within a lease, which then survives one lost message.
LEASE_RENEWAL_INTERVAL_S = 0.4
# Interval of sending the schedulers an inventory of the slots that this node holds; a lost release
# blocks its slot for up to this long.
INVENTORY_INTERVAL_S = 1.0
# Interval of dropping old members, limits and schedulers. Bounds memory only.
CLEANUP_INTERVAL_S = 5.0

assert 2 * LEASE_RENEWAL_INTERVAL_S < LEASE_S, "a lease has to outlast one lost renewal"


@dataclass(frozen=True)
class Housekeeping:
    """The periodic jobs of a node; an exception in one is logged and does not end the others."""

    membership: Membership
    limits: LimitGate
    hosts: SchedulerHost
    slots: SlotClient
    roles: SchedulerRoles
    digests: DigestSender
    suspension: SuspensionWatch

    async def run(self) -> None:
        """Run the jobs at their intervals until cancelled."""
        jobs = {
            self.log_suspension: 1,
            self.roles.check: 1,
            self.hosts.tick: 1,
            self.limits.renew_in_use: _ticks(LEASE_RENEWAL_INTERVAL_S),
            self.digests.gossip: _ticks(GOSSIP_INTERVAL_S),
            self.drop_unreachable_nodes: _ticks(GOSSIP_INTERVAL_S),
            self.slots.send_inventories: _ticks(INVENTORY_INTERVAL_S),
            self.clean_up: _ticks(CLEANUP_INTERVAL_S),
        }
        for tick in itertools.count():
            for job, ticks in jobs.items():
                if tick % ticks == 0:
                    guarded(job)
            await asyncio.sleep(TICK_INTERVAL_S)

    def log_suspension(self) -> None:
        """Log that the machine was suspended; all ages and deadlines include that time."""
        suspended_s = self.suspension.suspended_s()
        if suspended_s:
            logs.event("node.suspended", seconds=round(suspended_s, 3))

    def drop_unreachable_nodes(self) -> None:
        """Drop the asks and slots of unreachable entry nodes at the schedulers of this node."""
        known = {member.incarnation for member in self.membership.reachable()}
        known.add(self.membership.me.incarnation)
        self.hosts.drop_nodes(lambda node: node not in known)

    def clean_up(self) -> None:
        """Drop limits and schedulers that other nodes own now, and members that left long ago."""
        me = self.membership.me.incarnation
        self.membership.forget_old()
        self.limits.drop_idle()
        self.hosts.keep_only(lambda endpoint: self.roles.scheduler_of(endpoint) == me)


def _ticks(interval_s: float) -> int:
    """Convert an interval in seconds to ticks of the timer."""
    return int(interval_s / TICK_INTERVAL_S)
