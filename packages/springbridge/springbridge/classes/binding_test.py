"""Tests of binding.py, request_ids.py and stream.py: at-most-once execution, complete answers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, IsInstance

from springbridge.classes.binding import KEEP_S, RequestRecords, Stage
from springbridge.classes.request_ids import parse, prefix
from springbridge.classes.stream import Chunk, StreamCheck
from springbridge.codes import Code
from springbridge.problems import Problem

WALL_S = 1_800_000_000.0
REFUSED = Problem(Code.OVERLOADED)


@pytest.fixture
def bindings(clock, invariants):
    """Return the records of a home node."""
    return RequestRecords(clock, lambda: WALL_S + clock() - 1000.0, invariants)


def request_id(home="home", unique="x", issued_s=WALL_S):
    return parse(prefix(home, issued_s) + unique).unwrap()


def test_dispatch_happens_once(bindings):
    one = request_id()
    bindings.admit(one, "c")
    assert_that(bindings.begin_dispatch(one.text), IsInstance(Success))
    assert_that(bindings.begin_dispatch(one.text), IsInstance(Failure))


def test_refused_id_stays_refused(bindings):
    one = request_id()
    bindings.admit(one, "c")
    bindings.finish(one.text, REFUSED)
    assert_that(bindings.admit(one, "c").unwrap().stage, Equals(Stage.REFUSED))
    assert_that(bindings.begin_dispatch(one.text), IsInstance(Failure))


def test_unseen_id_is_handed_over_for_good(bindings):
    one = request_id()
    assert_that(bindings.hand_over(one, "c", "other").unwrap().moved_to, Equals("other"))
    assert_that(bindings.hand_over(one, "c", "third").unwrap().moved_to, Equals("other"))
    assert_that(bindings.admit(one, "c").unwrap().stage, Equals(Stage.MOVED))
    assert_that(bindings.begin_dispatch(one.text), IsInstance(Failure))


def test_known_id_is_not_handed_over(bindings):
    one = request_id()
    bindings.admit(one, "c")
    assert_that(bindings.hand_over(one, "c", "other").unwrap().stage, Equals(Stage.WAITING))


def test_id_rejected_by_an_endpoint_may_be_sent_to_another(bindings):
    one = request_id()
    bindings.admit(one, "c")
    bindings.begin_dispatch(one.text)
    bindings.undo_dispatch(one.text)
    assert_that(bindings.begin_dispatch(one.text), IsInstance(Success))


def test_id_of_another_customer_is_refused(bindings):
    one = request_id()
    bindings.admit(one, "a/claims")
    assert_that(bindings.admit(one, "b/claims").failure().code, Is(Code.REQUEST_ID_REUSED))
    assert_that(bindings.hand_over(one, "b/claims", "n").failure().code, Is(Code.REQUEST_ID_REUSED))


def test_id_older_than_the_records_is_refused(bindings, clock):
    one = request_id()
    bindings.admit(one, "c")
    bindings.finish(one.text, REFUSED)
    clock.advance(KEEP_S + 1)
    assert_that(bindings.admit(one, "c").failure().code, Is(Code.REQUEST_ID_TOO_OLD))


def test_long_running_record_is_kept_and_does_not_hold_up_others(bindings, clock):
    long, short = request_id(unique="long"), request_id(unique="short")
    bindings.admit(long, "c")
    bindings.begin_dispatch(long.text)
    bindings.admit(short, "c")
    bindings.finish(short.text, REFUSED)
    clock.advance(KEEP_S + 1)
    bindings.admit(request_id(unique="new", issued_s=WALL_S + KEEP_S), "c")
    assert_that(bindings.find(short.text), Is(None))
    assert_that(bindings.find(long.text).stage, Equals(Stage.DISPATCHED))


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_events_dispatches_once(bindings, seed):
    """Retries, hand-overs and attempts in random order leave at most one dispatch."""
    rng = random.Random(seed)
    one = request_id()
    standing = 0
    for _ in range(200):
        event = rng.randrange(4)
        if event == 0:
            bindings.admit(one, "c")
        elif event == 1:
            bindings.hand_over(one, "c", rng.choice("ab"))
        elif bindings.find(one.text) is None:
            continue
        elif event == 2 and isinstance(bindings.begin_dispatch(one.text), Success):
            standing += 1
        elif event == 3 and bindings.find(one.text).stage is Stage.DISPATCHED:
            if rng.random() < 0.5:
                bindings.undo_dispatch(one.text)
                standing -= 1
            else:
                bindings.finish(one.text, None)
    assert_that(standing in (0, 1), Is(True))


@pytest.mark.parametrize("text", ["", "a b", "home~x~y", "home~1~", "a~1~b~c", "x" * 65, "é"])
def test_malformed_ids_are_refused(text):
    assert_that(parse(text).failure().code, Is(Code.REQUEST_ID_MALFORMED))


def test_id_without_a_home(bindings):
    assert_that(parse("my-own-id").unwrap().home, Equals(""))


def chunk(offset, tokens=2, request_id="r", last=False):
    return Chunk(request_id, offset, tokens, "x" * tokens, last)


STREAMS = {
    "whole": ([chunk(0), chunk(2, last=True)], True),
    "repeated piece": ([chunk(0), chunk(0), chunk(2, last=True)], True),
    "gap": ([chunk(0), chunk(4, last=True)], False),
    "reordered": ([chunk(2), chunk(0, last=True)], False),
    "overlap": ([chunk(0), chunk(1, last=True)], False),
    "foreign piece": ([chunk(0), chunk(2, request_id="s", last=True)], False),
    "cut": ([chunk(0), chunk(2)], False),
    "nothing": ([], False),
    "piece after the end": ([chunk(0, last=True), chunk(2)], False),
}


@pytest.mark.parametrize(("chunks", "whole"), STREAMS.values(), ids=STREAMS)
def test_only_whole_answers_pass(chunks, whole):
    check = StreamCheck("r")
    accepted = all(isinstance(check.accept(one), Success) for one in chunks)
    finished = isinstance(check.finish(), Success)
    assert_that(accepted and finished, Is(whole))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.permutations(range(6)), st.lists(st.integers(0, 5), max_size=3))
def test_no_order_of_chunks_makes_a_mixed_answer(order, repeats):
    chunks = [chunk(2 * number, last=number == 5) for number in range(6)]
    check = StreamCheck("r")
    text = []
    for number in [*order, *repeats]:
        match check.accept(chunks[number]):
            case Success(Chunk() as fresh):
                text.append(fresh.offset)
            case Failure(_):
                break
    assert_that(text, Equals([2 * number for number in range(len(text))]))


@pytest.mark.parametrize("seed", range(30))
def test_not_run_is_promised_only_where_it_is_true_and_stays_true(bindings, seed):
    """Runs, refusals and repeats of one id in random order, for a repeatable request."""
    rng = random.Random(seed)
    one = request_id()
    promised = False
    open_runs = 0
    began = 0
    for _ in range(60):
        event = rng.randrange(3)
        if event == 0 and isinstance(bindings.open_repeatable(one, "c"), Success):
            assert_that(promised, Is(False))
            open_runs += 1
        elif event == 1 and open_runs:
            ran = rng.random() < 0.5
            began += ran
            open_runs -= 1
            stands = bindings.close_repeatable(one.text, None if ran else REFUSED)
            if not ran and stands:
                promised = True
        elif event == 2 and bindings.refuse(one, "c"):
            promised = True
        if promised:
            assert_that((began, open_runs), Equals((0, 0)))


def test_refusal_of_a_request_under_way_cannot_be_promised(bindings):
    one = request_id()
    bindings.admit(one, "c").unwrap().fresh = False
    assert_that(bindings.refuse(one, "c"), Is(False))
    assert_that(bindings.begin_dispatch(one.text), IsInstance(Success))
    assert_that(bindings.refuse(one, "c"), Is(False))
