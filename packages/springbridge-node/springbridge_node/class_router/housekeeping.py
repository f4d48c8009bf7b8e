"""A node's periodic duties, all from one timer, since each wake-up costs processor time."""

import asyncio
import itertools
from dataclasses import dataclass

from springbridge.classes.limits import LEASE_S
from springbridge.classes.slots.slot_client import SlotClient
from springbridge.membership import GOSSIP_INTERVAL_S, Membership

from springbridge_node import logs
from springbridge_node.class_router.endpoints.scheduler_host import TICK_S, SchedulerHost
from springbridge_node.class_router.endpoints.scheduler_roles import SchedulerRoles
from springbridge_node.class_router.peers.digest_sender import DigestSender
from springbridge_node.class_router.requests.limit_gate import LimitGate
from springbridge_node.clock import SuspensionWatch
from springbridge_node.periodic import guarded

# Interval of renewing leases in use: twice within a lease, so that one lost message does no harm.
RENEW_INTERVAL_S = 0.4
# Interval of telling the schedulers which slots this node holds; a release that was lost blocks its
# slot for up to this long.
INVENTORY_INTERVAL_S = 1.0
# Interval of forgetting old members, limits and schedulers; it bounds memory only.
TIDY_INTERVAL_S = 5.0

assert 2 * RENEW_INTERVAL_S < LEASE_S, "a lease has to outlive one lost renewal"


@dataclass(frozen=True)
class Housekeeping:
    """What a node does now and then; a fault in one duty is logged and does not end the others."""

    membership: Membership
    limits: LimitGate
    hosts: SchedulerHost
    slots: SlotClient
    roles: SchedulerRoles
    digests: DigestSender
    suspension: SuspensionWatch

    async def run(self) -> None:
        """Do what is due until cancelled."""
        duties = {
            self.log_suspension: 1,
            self.roles.check: 1,
            self.hosts.tick: 1,
            self.limits.renew_in_use: _ticks(RENEW_INTERVAL_S),
            self.digests.gossip: _ticks(GOSSIP_INTERVAL_S),
            self.drop_silent: _ticks(GOSSIP_INTERVAL_S),
            self.slots.send_inventories: _ticks(INVENTORY_INTERVAL_S),
            self.tidy: _ticks(TIDY_INTERVAL_S),
        }
        for tick in itertools.count():
            for duty, ticks in duties.items():
                if tick % ticks == 0:
                    guarded(duty)
            await asyncio.sleep(TICK_S)

    def log_suspension(self) -> None:
        """Log that the machine was suspended; all ages and deadlines count that time."""
        suspended_s = self.suspension.suspended_s()
        if suspended_s:
            logs.event("node.suspended", seconds=round(suspended_s, 3))

    def drop_silent(self) -> None:
        """Forget what entry nodes that went silent have at the schedulers here."""
        known = {member.incarnation for member in self.membership.reachable()}
        known.add(self.membership.me.incarnation)
        self.hosts.drop_nodes(lambda node: node not in known)

    def tidy(self) -> None:
        """Forget what other nodes own now and members that are long gone."""
        me = self.membership.me.incarnation
        self.membership.forget_old()
        self.limits.drop_idle()
        self.hosts.keep_only(lambda endpoint: self.roles.scheduler_of(endpoint) == me)


def _ticks(interval_s: float) -> int:
    """Return an interval in ticks of the node's timer."""
    return int(interval_s / TICK_S)
