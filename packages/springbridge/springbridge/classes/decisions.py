"""Messages between an entry node and the scheduler of an endpoint.

An entry node sends a SlotRequest, gets a Decision, and reports how the slot is used. The messages
carry metadata only, because a scheduler may run in a failure domain that must not see the content.
The names of these classes and their fields are those in peer.proto unless peer_codec.py of the node
maps them to others, so a rename needs an entry there.
"""

from dataclasses import dataclass
from enum import IntEnum

from springbridge.classes.entities import Tier


@dataclass(frozen=True)
class SlotRequest:
    """An entry node's request for a slot at one endpoint.

    Attributes:
      slot_request_id: Unique over all nodes and attempts.
      node: Incarnation of the entry node.
      endpoint: Name of the endpoint.
      weight: The customer's weight in the class, for fair queueing.
      fan: Number of endpoints at which the same attempt has requested a slot. The load that the
        attempt adds to each queue is divided by it.
      max_wait_s: Longest time the slot request may still wait.
      target_s: What is left of the latency target for the first token.
      first_s: The whole latency target for the first token.
      between_s: Latency target for the mean time between tokens.
      prompt_tokens: Estimated length of the prompt.
      primary: Whether this endpoint was asked first; only there the slot request preempts without
        delay.
      preemptible: Whether the work may be stopped for a higher tier and go on elsewhere.
    """

    slot_request_id: str
    node: str
    endpoint: str
    request_class: str
    customer: str
    tier: Tier
    weight: float
    fan: int
    max_wait_s: float
    target_s: float
    first_s: float
    between_s: float
    prompt_tokens: int
    primary: bool
    preemptible: bool

    @property
    def is_unpreemptible_lower_tier(self) -> bool:
        """Return whether it is work below the top tier that may not be preempted."""
        return not self.preemptible and self.tier is not Tier.URGENT


class Outcome(IntEnum):
    """How a slot was used.

    Attributes:
      UNUSED: The entry node sent nothing to the endpoint.
      DONE: The endpoint answered whole.
      CANCELLED: The entry node stopped the work.
      ENDPOINT_REFUSED: The endpoint turned the work away before it started.
      ENDPOINT_FAILED: Anything else went wrong at the endpoint.
    """

    UNUSED = 0
    DONE = 1
    CANCELLED = 2
    ENDPOINT_REFUSED = 3
    ENDPOINT_FAILED = 4


@dataclass(frozen=True)
class Sample:
    """What an entry node saw of a slot since its last sample; zero stands for nothing new.

    Attributes:
      first_token_s: Time to the first token, in the sample that first knows it.
      between_tokens_s: Mean time between tokens since the last sample.
      tokens: Tokens since the start.
    """

    slot_request_id: str
    first_token_s: float
    between_tokens_s: float
    tokens: int


@dataclass(frozen=True)
class Release:
    """The entry node gives a slot back."""

    slot_request_id: str
    outcome: Outcome
    sample: Sample


@dataclass(frozen=True)
class Hold:
    """Reports to a new scheduler a slot that the former one gave."""

    slot_request: SlotRequest


@dataclass(frozen=True)
class Inventory:
    """All slot requests and slots of a node at one scheduler; the scheduler drops all others."""

    node: str
    slot_request_ids: tuple[str, ...]


@dataclass(frozen=True)
class Grant:
    """The scheduler gives a slot.

    Attributes:
      scheduler: Incarnation of the node that schedules. A slot that is no longer wanted goes back
        to it, even if it was frozen and another node has taken over its role.
      used_share: Slots in use as a share of the slots for the slot request's tier.
    """

    slot_request_id: str
    node: str
    scheduler: str
    used_share: float


@dataclass(frozen=True)
class Queued:
    """The slot request waits, so the entry node should request slots at other endpoints too.

    Attributes:
      wait_s: The predicted wait. Entry nodes do not read it; it stays because it is on the wire.
    """

    slot_request_id: str
    node: str
    wait_s: float


@dataclass(frozen=True)
class Refusal:
    """The scheduler refuses a slot request; it may be repeated after retry_after_s."""

    slot_request_id: str
    node: str
    retry_after_s: float


@dataclass(frozen=True)
class Preemption:
    """The scheduler takes a slot back; the entry node stops the work and requests a new slot."""

    slot_request_id: str
    node: str


Decision = Grant | Queued | Refusal | Preemption
