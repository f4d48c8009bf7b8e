"""Tests of instance_limits.py: what clients may take of the machines of the platform."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from springbridge.instance_limits import (
    FILE_DESCRIPTORS,
    MIB,
    InstanceLimits,
    ListenerKind,
)

# Memory in MB and descriptors of the machines of the platform.
MACHINES = [(88, 4100), (128, 4100), (160, 4100), (200, 4100), (300, 4100), (552, 8192)]
# The largest body that a request may have by default.
BODY_BYTES = 4 << 20


@pytest.mark.parametrize(("memory_mb", "descriptors"), MACHINES)
def test_each_machine_has_room_for_large_bodies_and_keeps_descriptors(memory_mb, descriptors):
    limits = InstanceLimits(memory_mb, descriptors)
    assert_that(limits.request_bytes(), GreaterThan(4 * BODY_BYTES))
    assert_that(limits.request_bytes(), LessThan(0.9 * memory_mb * MIB))
    taken = sum(limits.connections(kind) for kind in ListenerKind)
    assert_that(taken, LessThan(0.7 * (descriptors - FILE_DESCRIPTORS)))
    assert_that(limits.connections(ListenerKind.CALLERS), GreaterThan(300))


def test_a_tiny_machine_accepts_connections_at_each_listener():
    limits = InstanceLimits(16, 64)
    assert_that(all(limits.connections(kind) >= 1 for kind in ListenerKind), Equals(True))
    assert_that(limits.request_bytes(), GreaterThan(BODY_BYTES))
