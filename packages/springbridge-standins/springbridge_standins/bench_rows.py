"""What a run of the bench comes to: one row for each class of requests."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from springbridge.codes import Code, Fate

from springbridge_standins.load import (
    Load,
    Record,
)
from springbridge_standins.process_time import cpu_s
from springbridge_standins.world import World

LOAD_S = 16.0
MOMENT_S = 0.001
HISTOGRAM_MS = (1, 600_000, 3)


@dataclass(frozen=True)
class Row:
    """One line of the results: a class under a policy in a scenario.

    Attributes:
      goodput_tokens_per_s: Tokens of whole answers that came while load was offered.
      attainment: Share of all requests that came whole and within both latency targets.
      wasted_share: Share of the generated tokens that reached no caller in a whole answer; the same
        for all classes of a run.
      refused: Requests that ended with a code that promises they were not run.
      failed: Requests that ended with a code that does not promise that.
      unanswered: Requests that ended with neither an answer nor a code.
      longest_wait_s: Longest time to a first token, retries included.
    """

    scenario: str
    policy: str
    fleet: str
    request_class: str
    tier: str
    requests: int
    attainment: float
    goodput_tokens_per_s: float
    wasted_share: float
    refused: int
    failed: int
    unanswered: int
    longest_wait_s: float
    p95_first_ms: float
    codes: dict[str, int]
    cpu_ms_per_request: float
    control_bytes_per_node_s: float


@dataclass(frozen=True)
class Run:
    """What a run was, how long it took, and what the nodes had spent before it (processor s)."""

    scenario: str
    policy: str
    fleet: str
    seconds: float
    spent_before_s: float


async def rows_of(world: World, load: Load, run: Run) -> list[Row]:
    """Judge a finished run."""
    generated = 0
    for cells in world.engines("model").values():
        generated += (await world.counters(cells["address"]))["generated_tokens"]
    whole = sum(record.tokens for record in load.records if _is_model(world, record))
    wasted = max(0.0, 1 - whole / max(1, generated))
    nodes = [node for node in world.nodes.values() if node.running]
    states = [await world.status(node) for node in nodes]
    sent = sum(state.get("sent_bytes", 0) for state in states)
    spent_s = processor_s(world) - run.spent_before_s
    cpu_ms = 1000 * spent_s / max(1, len(load.records))
    bytes_s = sent / len(nodes) / run.seconds
    return [
        _row(world, run, name, records, wasted, cpu_ms, bytes_s)
        for name, records in sorted(_by_class(load.records).items())
    ]


def processor_s(world: World) -> float:
    """Return the processor time that the running nodes have spent."""
    return sum(cpu_s(node.process.pid) for node in world.nodes.values() if node.running)


def _is_model(world: World, record: Record) -> bool:
    """Return whether a record is a whole answer of a model engine."""
    target = world.rows[f"class/{record.request_class}"]["target"]
    models = {cells["target"] for cells in world.engines("model").values()}
    return record.reply.whole and target in models


def _by_class(records: list[Record]) -> dict[str, list[Record]]:
    found: dict[str, list[Record]] = {}
    for record in records:
        found.setdefault(record.request_class, []).append(record)
    return found


def _row(
    world: World,
    run: Run,
    name: str,
    records: list[Record],
    wasted: float,
    cpu_ms: float,
    bytes_s: float,
) -> Row:
    """Judge one class of a run."""
    cells = world.rows[f"class/{name}"]
    first_s = int(cells["first_token_ms"]) / 1000
    between_s = int(cells["between_tokens_ms"]) / 1000
    met = [
        record
        for record in records
        if record.reply.whole and record.first_s <= first_s and record.reply.between_s <= between_s
    ]
    histogram = HdrHistogram(*HISTOGRAM_MS)
    for record in records:
        histogram.record_value(max(1, int(record.first_s * 1000)))
    codes = Counter(_code_name(record) for record in records)
    return Row(
        scenario=run.scenario,
        policy=run.policy,
        fleet=run.fleet.removesuffix(".csv"),
        request_class=name,
        tier=cells["tier"],
        requests=len(records),
        attainment=round(len(met) / len(records), 4),
        goodput_tokens_per_s=round(sum(map(_tokens_under_load, records)) / LOAD_S, 1),
        wasted_share=round(wasted, 4),
        refused=sum(_fate(record) is Fate.NOT_RUN for record in records),
        failed=sum(_fate(record) in (Fate.FAILED, Fate.UNKNOWN) for record in records),
        unanswered=codes["none"],
        longest_wait_s=round(max(record.first_s for record in records), 2),
        p95_first_ms=float(histogram.get_value_at_percentile(95)),
        codes=dict(codes),
        cpu_ms_per_request=round(cpu_ms, 2),
        control_bytes_per_node_s=round(bytes_s, 1),
    )


def _tokens_under_load(record: Record) -> float:
    """Return the tokens of a whole answer that came while load was offered.

    Counted to the end of the run instead, goodput would be the length of the last long answer.
    """
    if not record.reply.whole:
        return 0.0
    start_s = record.at_s + record.first_s
    end_s = max(start_s + MOMENT_S, record.at_s + record.earlier_s + record.reply.total_s)
    inside_s = min(end_s, LOAD_S) - start_s
    return record.tokens * max(0.0, inside_s) / (end_s - start_s)


def _code_name(record: Record) -> str:
    code = record.reply.code
    if code is None or (code is Code.OK and not record.reply.whole):
        return "none"
    return code.name


def _fate(record: Record) -> Fate | None:
    code = record.reply.code
    return None if code is None else {fate.value: fate for fate in Fate}.get(record.reply.fate)
