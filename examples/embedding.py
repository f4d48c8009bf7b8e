"""Embeds the library without the daemon: membership, scheduling and limits in one small program.

Three nodes exchange their members, determine the scheduler of an endpoint without further messages,
and admit requests under a limit that holds for their sum. Messages are plain records that any
transport can carry; here they are passed by function call.
"""

import random

from springbridge.classes.decisions import Grant, SlotRequest
from springbridge.classes.entities import Share, Tier
from springbridge.classes.invariants import Invariants
from springbridge.classes.limits import LimitOwner, NodeLimit
from springbridge.classes.slots.scheduler import EndpointScheduler, scheduling_node
from springbridge.membership import Member, Membership

NAMES = ["alpha", "beta", "gamma"]
SHARE = Share("library", "questions", weight=1.0, rate_per_s=10.0, concurrency=4)


class Clock:
    """A clock that the example sets by hand."""

    now_s = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


def meet(clock: Clock) -> list[Membership]:
    """Return the membership of three nodes after each has merged the members of the others."""
    views = []
    for name in NAMES:
        me = Member(name, name, f"{name}:1", f"{name}:2", "domain-a")
        views.append(Membership(me, clock, random.Random(1)))
    for view in views:
        view.beat(config_version=1, confirmed_ago_s=0.0, table_out=False)
    for view in views:
        view.merge(other.me for other in views)
    return views


def schedule(clock: Clock, scheduler_node: str) -> list[str]:
    """Request three slots and return the ids of the requests that were granted at once."""
    scheduler = EndpointScheduler(scheduler_node, "engine-1", 10_000, clock, Invariants())
    granted = []
    for number in range(3):
        slot_request = SlotRequest(
            slot_request_id=f"ask-{number}",
            node="alpha",
            endpoint="engine-1",
            request_class="questions",
            customer="library",
            tier=Tier.URGENT,
            weight=1.0,
            fan=1,
            max_wait_s=5.0,
            target_s=1.0,
            first_s=1.0,
            between_s=0.065,
            prompt_tokens=100,
            primary=True,
            preemptible=False,
        )
        decisions = scheduler.request_slot(slot_request)
        granted += [
            decision.slot_request_id for decision in decisions if isinstance(decision, Grant)
        ]
    return granted


def admit(clock: Clock, count: int) -> int:
    """Start requests on one node and return how many the limit admits."""
    limits, limit = LimitOwner(clock), NodeLimit(SHARE)
    admitted = 0
    for _ in range(count):
        limit.count_demand()
        if not limit.try_start(clock()):
            limit.take(limits.lease(limit.lease_request("alpha"), SHARE, nodes=1), clock(), nodes=1)
            if not limit.try_start(clock()):
                continue
        admitted += 1
    return admitted


def main() -> None:
    """Run the example."""
    clock = Clock()
    views = meet(clock)
    owners = {scheduling_node("engine-1", view.incarnations()) for view in views}
    print("scheduler of engine-1, as each node works it out:", owners)
    print("granted at once:", schedule(clock, owners.pop()))
    clock.now_s += 1.0
    print("admitted of 10 at a time:", admit(clock, 10))


if __name__ == "__main__":
    main()
