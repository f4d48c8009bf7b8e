"""Fixtures that the tests of this package share."""

from dataclasses import dataclass, replace

import pytest

from springbridge.classes.decisions import SlotRequest
from springbridge.classes.entities import Tier
from springbridge.classes.invariants import Invariants


@dataclass
class ManualClock:
    """A clock that tests move by hand."""

    now_s: float = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds


class ViolatedError(AssertionError):
    """An invariant was violated in a test."""


def raise_violation(name: str, detail: str) -> None:
    """Report a violation as a failed test."""
    raise ViolatedError(f"{name}: {detail}")


PLAIN_SLOT_REQUEST = SlotRequest(
    slot_request_id="ask",
    node="node-1",
    endpoint="engine-1",
    request_class="claims",
    customer="findwell",
    tier=Tier.URGENT,
    weight=1.0,
    fan=1,
    max_wait_s=10.0,
    target_s=1.0,
    first_s=1.0,
    between_s=0.065,
    prompt_tokens=10,
    primary=True,
    preemptible=False,
)


@pytest.fixture
def clock():
    """Return a clock that stands still."""
    return ManualClock()


@pytest.fixture
def invariants():
    """Return invariants that fail the test when violated."""
    return Invariants(raise_violation)


@pytest.fixture
def make_slot_request():
    """Return a function that makes slot requests; other fields are as in PLAIN_SLOT_REQUEST."""

    def make(slot_request_id: str, tier: Tier = Tier.URGENT, **fields) -> SlotRequest:
        fields.setdefault("preemptible", tier is not Tier.URGENT)
        fields.setdefault("request_class", tier.name.lower())
        return replace(PLAIN_SLOT_REQUEST, slot_request_id=slot_request_id, tier=tier, **fields)

    return make
