"""Dispatch: which part of the node each message goes to."""

from dataclasses import dataclass
from functools import singledispatchmethod

from returns.result import Success
from springbridge.classes import request_ids
from springbridge.classes.decisions import (
    Ask,
    Grant,
    Hold,
    Inventory,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
)
from springbridge.classes.limits import Lease, LeaseAsk
from springbridge.classes.slots.slot_client import SlotClient
from springbridge.membership import Membership

from springbridge_node.class_router.config.config_sync import ConfigSync
from springbridge_node.class_router.endpoints.scheduler_host import SchedulerHost
from springbridge_node.class_router.peers.messages import (
    ConfigDelta,
    ConfigPull,
    Digest,
    HandOver,
    HandOverReply,
    Message,
)
from springbridge_node.class_router.requests.home_lookup import HomeLookup
from springbridge_node.class_router.requests.limit_gate import LimitGate


@dataclass(frozen=True)
class IntakeParts:
    """The parts that messages are for."""

    hosts: SchedulerHost
    slots: SlotClient
    membership: Membership
    config: ConfigSync
    limits: LimitGate
    lookup: HomeLookup


class MessageIntake:
    """Dispatches by the type of the message."""

    def __init__(self, parts: IntakeParts) -> None:
        """Keep the parts."""
        self._parts = parts

    def take(self, message: Message) -> None:
        """Hand over a message from a peer or from this node itself."""
        self._take(message)

    @singledispatchmethod
    def _take(self, message: object) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_take.register
    def _(self, message: Ask | Hold | Inventory | Release | Sample) -> None:
        self._parts.hosts.take(message)

    @_take.register
    def _(self, message: Grant | Queued | Refusal | Preemption) -> None:
        self._parts.slots.take(message)

    @_take.register
    def _(self, digest: Digest) -> None:
        self._parts.membership.merge(digest.members)
        self._parts.config.compare_with_peers()

    @_take.register
    def _(self, pull: ConfigPull) -> None:
        self._parts.config.answer_pull(pull)

    @_take.register
    def _(self, delta: ConfigDelta) -> None:
        self._parts.config.take_delta(delta)

    @_take.register
    def _(self, ask: LeaseAsk) -> None:
        self._parts.limits.grant_lease(ask)

    @_take.register
    def _(self, lease: Lease) -> None:
        self._parts.limits.take_lease(lease)

    @_take.register
    def _(self, ask: HandOver) -> None:
        # An id that does not parse gets no answer; the asker then finds the outcome unknown.
        match request_ids.parse(ask.request_id):
            case Success(request_id):
                self._parts.lookup.answer_hand_over(ask, request_id)

    @_take.register
    def _(self, reply: HandOverReply) -> None:
        self._parts.lookup.take_reply(reply)
