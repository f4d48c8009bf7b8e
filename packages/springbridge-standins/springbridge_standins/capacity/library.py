"""Cost measurements of the library that need no running nodes."""

import random
from collections.abc import Callable
from time import perf_counter

from springbridge.classes.binding import RequestRecords
from springbridge.classes.decisions import Inventory, Outcome, Release, Sample, SlotRequest
from springbridge.classes.entities import Share, Tier
from springbridge.classes.invariants import Invariants
from springbridge.classes.limits import LimitOwner, NodeLimit
from springbridge.classes.request_ids import parse, prefix
from springbridge.classes.slots.scheduler import EndpointScheduler
from springbridge.classes.table.build import build, updated
from springbridge.classes.table.changes import Change, Edit, Snapshot, apply
from springbridge.hashing import owner
from springbridge.membership import Member, Membership
from springbridge_node.class_router.peers.messages import Digest
from springbridge_node.class_router.peers.peer_codec import decode, encode

from springbridge_standins.capacity.fit import Slope, measure, memory


def a_slot_request(name: str, tier: Tier = Tier.STANDARD) -> SlotRequest:
    """Return a slot request for measurements."""
    return SlotRequest(
        name, "node-1-0a1b2c3d", "engine-1", "claims", f"customer-{hash(name) % 50}", tier, 1.0, 3,
        1e6, 1.0, 1.0, 0.065, 100, True, False,
    )  # fmt: skip


def a_scheduler(running: int, waiting: int) -> EndpointScheduler:
    """Return a scheduler with running and with queued requests."""
    scheduler = EndpointScheduler("me", "engine-1", 10**9, perf_counter, Invariants())
    for limit in scheduler.limits.tiers.values():
        limit.limit = float(running)
        limit.learnt_s = perf_counter() + 3600
    for number in range(running + waiting):
        scheduler.request_slot(a_slot_request(f"fill-{number}"))
    return scheduler


def _turnover(scheduler: EndpointScheduler) -> Callable[[], object]:
    """Return a step that releases one slot and submits one new request."""
    numbers = iter(range(10**9))

    def step() -> None:
        slot_request_id = next(iter(scheduler.running))
        scheduler.release(
            Release(slot_request_id, Outcome.DONE, Sample(slot_request_id, 0.1, 0.02, 50))
        )
        scheduler.request_slot(a_slot_request(f"more-{next(numbers)}"))

    return step


def a_membership(size: int) -> Membership:
    """Return a membership with size members, all alive."""
    me = a_member(0)
    view = Membership(me, lambda: 0.0, random.Random(1))
    view.merge(a_member(number) for number in range(1, size))
    return view


def a_member(number: int) -> Member:
    """Return the member of a number."""
    name = f"node-{number:03d}"
    return Member(
        f"{name}-0a1b2c3d", name, f"10.0.{number // 250}.{number % 250}:8001",
        f"10.0.{number // 250}.{number % 250}:8000", f"place-{number % 4}", 1000,
        config_version=9999, confirmed_ago_s=0.5,
    )  # fmt: skip


def table_rows(shares: int) -> dict[str, dict[str, str]]:
    """Return rows of a table with a number of shares, eight per customer."""
    cells = {
        "tier": "urgent", "target": "m", "first_token_ms": "1100", "between_tokens_ms": "65",
        "max_wait_ms": "10000", "places": "a b", "repeatable": "no",
    }  # fmt: skip
    rows: dict[str, dict[str, str]] = {f"class/c{number}": cells for number in range(8)}
    for number in range(shares // 8):
        rows[f"customer/x{number}"] = {"places": "a b", "key_hashes": f"{number:064x}"}
        for other in range(8):
            share = {"weight": "1", "rate_per_s": "10", "concurrency": "10"}
            rows[f"share/x{number}/c{other}"] = share
    return rows


def _change_step(shares: int) -> Callable[[], object]:
    """Return a step that applies one change to a table with a number of shares."""
    rows = table_rows(shares)
    snapshot = Snapshot(1, rows)
    table = build(1, rows).table
    key = next(key for key in rows if key.startswith("share/"))
    edit = Edit(key, rows[key], {**rows[key], "weight": "2"})
    change = Change(2, "id", "who", "when", (edit,))

    def step() -> None:
        apply(snapshot, change)
        updated(table, 2, {key: edit.after})

    return step


def _codec_step(count: int) -> Callable[[], object]:
    messages = [a_slot_request(f"node-1-0a1b2c3d/{number}") for number in range(count)]
    return lambda: decode(encode(messages))


def _digest_step(size: int) -> Callable[[], object]:
    """Return a step that creates, encodes, decodes and merges one digest."""
    view = a_membership(size)
    return lambda: view.merge(decode(encode([Digest(tuple(view.digest()))]))[0].members)


def _many_bindings(count: int) -> RequestRecords:
    bindings = RequestRecords(lambda: 0.0, lambda: 0.0, Invariants())
    for number in range(count):
        bindings.admit(parse(prefix("node-1-0a1b2c3d", 0) + f"{number:012x}").unwrap(), "c/claims")
    return bindings


def _many_limits(count: int) -> LimitOwner:
    limits = LimitOwner(lambda: 0.0)
    for number in range(count):
        share = Share(f"customer-{number}", "claims", 1.0, 10.0, 10)
        limits.lease(NodeLimit(share).lease_request("node-1"), share, 380)
    return limits


def library_slopes() -> list[Slope]:
    """Run all measurements and return the fitted lines."""
    members = [8, 24, 50, 100, 200, 380]
    names = {size: [a_member(number).incarnation for number in range(size)] for size in members}
    engines = [1, 4, 16, 64]
    shares = [800, 4000, 16000, 57600]
    return [
        measure("scheduler turnover", "asks waiting", [0, 10, 100, 1000, 4000],
                lambda size: _turnover(a_scheduler(16, size))),
        measure("scheduler turnover", "slots in use", [4, 16, 64, 128],
                lambda size: _turnover(a_scheduler(size, 10))),
        measure("encode and decode", "messages in an envelope", [1, 4, 16, 64], _codec_step),
        measure("digest made, sent, merged", "members", members, _digest_step, 100),
        measure("live members", "members", members, lambda size: a_membership(size).live, 100),
        measure("majority", "members", members, lambda size: a_membership(size).sees_majority, 100),
        measure("owner of a role", "members", members,
                lambda size: lambda: owner("engine/engine-1", names[size]), 100),
        measure("change applied", "shares", shares, _change_step, 20),
        measure("inventory at a scheduler", "slots in use", [4, 16, 64, 128],
                lambda size: _inventory_step(a_scheduler(size, 0))),
        measure("tick of schedulers", "engines", engines, _tick_step),
        memory("scheduler", "asks waiting", [100, 400, 1600, 6400], lambda n: a_scheduler(16, n)),
        memory("members", "members", members, a_membership),
        memory("bindings", "requests", [1000, 4000, 8000, 16000], _many_bindings),
        memory("owned limits", "limits", [100, 400, 1600, 6400], _many_limits),
        memory("table in force", "shares", shares,
               lambda size: (rows := table_rows(size), build(1, rows))),
    ]  # fmt: skip


def _inventory_step(scheduler: EndpointScheduler) -> Callable[[], object]:
    inventory = Inventory("node-1-0a1b2c3d", tuple(scheduler.running))
    return lambda: scheduler.take_inventory(inventory)


def _tick_step(count: int) -> Callable[[], object]:
    schedulers = [a_scheduler(16, 0) for _ in range(count)]
    return lambda: [scheduler.tick() for scheduler in schedulers]
