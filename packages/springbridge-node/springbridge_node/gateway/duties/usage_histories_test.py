"""A window has a single report, in random histories of reporters on a faulty store."""

import pytest
from springbridge_standins.usage_histories import Faults, play_reports
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

STEPS_AND_KILLS = Faults(("go_back", "kill"), loss_rate=0.0)
STEPS_AND_RANKS = Faults(("go_back", "rank"), loss_rate=0.0)
STEPS_AND_LOSSES = Faults(("go_back", "kill_all"), loss_rate=0.0)
MANY = Faults(("freeze", "kill", "cut", "rank", "down", "go_back", "leave", "jump"))
SELDOM = Faults(("go_back", "kill"), max_pause_s=12.0, loss_rate=0.02)
GIVEN_UP_WRITES = Faults(
    ("kill_all", "kill", "leave", "jump"), max_pause_s=6.0, loss_rate=0.2, give_up_rate=0.15
)
# Seeds of fixed faults: a window was reported twice with different counts.
ONCE_BROKEN = (
    *((seed, STEPS_AND_KILLS) for seed in (0, 2, 3, 4, 5, 8, 9, 12, 14)),
    *((seed, STEPS_AND_RANKS) for seed in (6, 8, 14)),
    *((seed, MANY) for seed in (1, 2, 6)),
    *((seed, Faults()) for seed in (1000, 1001, 1002)),
    *((seed, GIVEN_UP_WRITES) for seed in (54, 112)),
)
DRAWN = tuple(
    (seed, faults)
    for seed in range(1003, 1011)
    for faults in (STEPS_AND_LOSSES, SELDOM, GIVEN_UP_WRITES, Faults())
)


# Guards against a second report of a window: the store is restored from an older copy, and a holder
# that has not received the first report decides the window again.
@pytest.mark.parametrize(("seed", "faults"), [*ONCE_BROKEN, *DRAWN])
def test_no_history_has_a_window_with_two_counts(seed, faults):
    history = play_reports(seed, faults)
    assert_that(history.received.conflicts, Equals([]))


def test_histories_without_steps_miss_next_to_nothing():
    histories = [play_reports(seed, Faults(("kill", "rank"), loss_rate=0.02)) for seed in range(8)]
    assert_that(sum(history.missed_windows() for history in histories), LessThan(2))
    assert_that(sum(len(history.received.reports) for history in histories), GreaterThan(60))


def test_a_step_costs_one_window_at_the_most():
    histories = [play_reports(seed, SELDOM) for seed in range(1000, 1012)]
    missed = sum(history.missed_windows() for history in histories)
    assert_that(missed, LessThan(sum(len(history.restores_s) for history in histories)))
