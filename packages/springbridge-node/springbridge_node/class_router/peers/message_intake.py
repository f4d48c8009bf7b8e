"""Dispatches messages of peers to the parts of the node that handle them."""

from dataclasses import dataclass
from functools import singledispatchmethod

from returns.result import Success
from springbridge.classes import request_ids
from springbridge.classes.decisions import (
    Grant,
    Hold,
    Inventory,
    Preemption,
    Queued,
    Refusal,
    Release,
    Sample,
    SlotRequest,
)
from springbridge.classes.limits import Lease, LeaseRequest
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
    """The parts that handle messages."""

    hosts: SchedulerHost
    slots: SlotClient
    membership: Membership
    config: ConfigSync
    limits: LimitGate
    lookup: HomeLookup


class MessageIntake:
    """Dispatches by the type of the message."""

    def __init__(self, parts: IntakeParts) -> None:
        """Store the handling parts."""
        self._parts = parts

    def dispatch(self, message: Message) -> None:
        """Pass on a message, from a peer or from this node itself, to the part that handles it."""
        self._dispatch(message)

    @singledispatchmethod
    def _dispatch(self, message: object) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_dispatch.register
    def _(self, message: SlotRequest | Hold | Inventory | Release | Sample) -> None:
        self._parts.hosts.handle(message)

    @_dispatch.register
    def _(self, message: Grant | Queued | Refusal | Preemption) -> None:
        self._parts.slots.take(message)

    @_dispatch.register
    def _(self, digest: Digest) -> None:
        self._parts.membership.merge(digest.members)
        self._parts.config.pull_from_peers()

    @_dispatch.register
    def _(self, pull: ConfigPull) -> None:
        self._parts.config.answer_pull(pull)

    @_dispatch.register
    def _(self, delta: ConfigDelta) -> None:
        self._parts.config.apply_delta(delta)

    @_dispatch.register
    def _(self, ask: LeaseRequest) -> None:
        self._parts.limits.grant_lease(ask)

    @_dispatch.register
    def _(self, lease: Lease) -> None:
        self._parts.limits.apply_lease(lease)

    @_dispatch.register
    def _(self, query: HandOver) -> None:
        # An id that does not parse gets no reply; the querying node ends with OUTCOME_UNKNOWN.
        match request_ids.parse(query.request_id):
            case Success(request_id):
                self._parts.lookup.answer_hand_over(query, request_id)

    @_dispatch.register
    def _(self, reply: HandOverReply) -> None:
        self._parts.lookup.complete_query(reply)
