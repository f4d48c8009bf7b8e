"""Encodes and decodes what nodes send each other: datagram rows and bodies of HTTP replies.

A row is a JSON list whose fields are identified by position, which keeps datagrams small. During a
rollout nodes of two builds exchange rows, so the order of the fields, their rounding and the
numbers of the enums are fixed; codec_test.py compares them byte by byte.

Decoding a malformed row raises ValueError, TypeError, KeyError or IndexError.
"""

import base64
import zlib
from collections.abc import Callable, Iterable
from dataclasses import replace

import orjson
from springbridge.crash_records import CrashReport
from springbridge.membership import Member, Phase, SnapshotStatus
from springbridge.prompt_parts import is_part_key
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot, PromptPart

from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.peers import crash_rows
from springbridge_node.gateway.peers.row_fields import number, text, texts, whole
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest

# Decimal places of an age in seconds. Far finer than the 1.1 s for which a configuration or an
# endpoint list counts as confirmed.
AGE_DECIMALS = 2
# Phases of notices about an endpoint itself, which have no attempt id.
ENDPOINT_PHASES = (LoadPhase.UNREACHED, LoadPhase.GONE)
# zlib's fastest level: bodies are sent rarely, but to many nodes at the same moment.
COMPRESSION_LEVEL = 1


def state_row(member: Member) -> list:
    """Encode the fields of a member that change; sufficient for peers that know the member."""
    return [
        member.incarnation,
        member.heartbeat,
        int(member.phase),
        member.config_version,
        round(member.confirmed_ago_s, AGE_DECIMALS),
        member.endpoint_snapshot.fingerprint,
        round(member.endpoint_snapshot.age_s, AGE_DECIMALS),
    ]


def member_row(member: Member) -> list:
    """Encode all fields of a member (a full row), for peers that may not know it."""
    fixed = [member.instance, member.peer_address, member.caller_address, member.failure_domain]
    return state_row(member) + fixed


def read_member(
    row: list, find: Callable[[str], Member | None], heard_ago_s: float = 0.0
) -> Member | None:
    """Decode a member from a state row or a full row.

    Args:
      find: Returns the member with an incarnation as this node knows it, or None.
      heard_ago_s: Age in seconds of the member's last heartbeat, which is not in the row.

    Returns:
      None for a state row of a member that this node does not know; its next full row adds it.
    """
    incarnation, heartbeat, phase, version, confirmed_ago_s, fingerprint, age_s, *fixed = row
    text(incarnation)
    if fixed:
        instance, peer_address, caller_address, failure_domain = texts(fixed)
        known = Member(incarnation, instance, peer_address, caller_address, failure_domain)
    else:
        known = find(incarnation)
    if known is None:
        return None
    return replace(
        known,
        heartbeat=whole(heartbeat),
        phase=Phase(whole(phase)),
        config_version=whole(version),
        confirmed_ago_s=number(confirmed_ago_s),
        endpoint_snapshot=SnapshotStatus(whole(fingerprint), number(age_s)),
        heard_ago_s=heard_ago_s,
    )


def heartbeat_of(row: list) -> int:
    """Return the heartbeat counter in a member's state row or full row."""
    return whole(row[1])


def incarnation_of(row: list) -> str:
    """Return the incarnation in a member's state row or full row."""
    return text(row[0])


def notice_row(notice: LoadNotice) -> list:
    """Encode a load notice; only a notice of a start has the prompt's fields."""
    row = [int(notice.phase), notice.attempt_id, notice.endpoint_id]
    if notice.phase in ENDPOINT_PHASES and notice.born_ms is not None:
        # Older builds ignore the attempt id in such a row, and reject a row with another field.
        row[1] = str(notice.born_ms)
    if notice.phase is LoadPhase.STARTED:
        parts = _prompt_rows(notice.prompt_parts)
        row += [notice.prompt_tokens, parts, notice.fetched_tokens]
    return row


def read_notice(row: list) -> LoadNotice:
    """Decode a load notice."""
    phase, attempt_id, endpoint_id, *prompt = row
    if phase in ENDPOINT_PHASES:
        born_ms = int(attempt_id) if attempt_id else None
        return LoadNotice(LoadPhase(phase), "", text(endpoint_id), born_ms=born_ms)
    if not prompt:
        return LoadNotice(LoadPhase(phase), text(attempt_id), text(endpoint_id))
    prompt_tokens, parts, fetched_tokens = prompt
    return LoadNotice(
        phase=LoadPhase(phase),
        attempt_id=text(attempt_id),
        endpoint_id=text(endpoint_id),
        prompt_tokens=whole(prompt_tokens),
        prompt_parts=_read_prompt(parts),
        fetched_tokens=whole(fetched_tokens),
    )


def request_row(request: SelectionRequest) -> list:
    """Encode a request to select an endpoint."""
    demand = request.demand
    return [
        request.number,
        request.attempt_id,
        request.tried,
        request.avoided,
        demand.request_id,
        demand.service,
        demand.failure_domain,
        demand.priority,
        demand.target_s,
        demand.prompt_tokens,
        _prompt_rows(demand.prompt_parts),
        demand.fetches,
    ]


def read_request(row: list) -> SelectionRequest:
    """Decode a request to select an endpoint."""
    count, attempt_id, tried, avoided, *demand = row
    return SelectionRequest(
        whole(count), text(attempt_id), texts(tried), texts(avoided), _read_demand(demand)
    )


def _read_demand(row: list) -> Demand:
    """Decode the demand from the last fields of a request's row."""
    request_id, service, failure_domain, priority, target_s, prompt_tokens, parts, fetches = row
    return Demand(
        request_id=text(request_id),
        service=text(service),
        failure_domain=text(failure_domain),
        priority=whole(priority),
        target_s=number(target_s),
        prompt_tokens=whole(prompt_tokens),
        prompt_parts=_read_prompt(parts),
        fetches=bool(fetches),
    )


def reply_row(reply: SelectionReply) -> list:
    """Encode a coordinator's reply."""
    refusal = None if reply.overload is None else _overload_row(reply.overload)
    return [reply.number, reply.endpoint_id, reply.source_id, reply.fetched_tokens, refusal]


def read_reply(row: list) -> SelectionReply:
    """Decode a coordinator's reply."""
    count, endpoint_id, source_id, fetched_tokens, refusal = row
    overload = None if refusal is None else Overload(*(number(field) for field in refusal))
    return SelectionReply(
        whole(count), text(endpoint_id), text(source_id), whole(fetched_tokens), overload
    )


def _overload_row(overload: Overload) -> list:
    """Encode an overload, in the order of the class's fields."""
    return [overload.backlog_s, overload.longest_wait_s, overload.in_flight]


def _prompt_rows(parts: tuple[PromptPart, ...]) -> list[list]:
    """Encode each part of a prompt as a row."""
    return [[part.part_id, part.tokens] for part in parts]


def _read_prompt(rows: list[list]) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt."""
    return tuple(PromptPart(text(part_id), whole(tokens)) for part_id, tokens in rows)


def configuration_body(document: ConfigurationDocument) -> bytes:
    """Encode a configuration, byte for byte as the operators wrote it, as a compressed body."""
    raw = base64.b64encode(document.raw).decode()
    return _compress({"version": document.version, "document": raw})


def read_configuration(body: dict) -> ConfigurationDocument:
    """Decode a configuration from a decompressed body."""
    return ConfigurationDocument(body["version"], base64.b64decode(body["document"]))


def snapshot_body(aged: AgedSnapshot) -> bytes:
    """Encode an endpoint list and its age as a compressed body."""
    entries = aged.snapshot.entries
    body = {
        "revision": aged.snapshot.revision,
        "age_s": aged.age_s,
        "entries": [_endpoint_row(entry) for entry in entries],
    }
    # Kept outside the rows, because older builds accept rows of six fields only but ignore unknown
    # fields of the body.
    starts = {entry.endpoint_id: entry.born_ms for entry in entries if entry.born_ms is not None}
    spot = [entry.endpoint_id for entry in entries if entry.spot]
    cold = [entry.endpoint_id for entry in entries if entry.cold]
    versions = {entry.endpoint_id: entry.version for entry in entries if entry.version is not None}
    further = {"born": starts, "spot": spot, "cold": cold, "versions": versions}
    return _compress(body | {name: field for name, field in further.items() if field})


def read_snapshot(body: dict) -> AgedSnapshot:
    """Decode an endpoint list and its age from a decompressed body."""
    starts, versions = body.get("born", {}), body.get("versions", {})
    spot, cold = set(body.get("spot", ())), set(body.get("cold", ()))
    entries = tuple(
        EndpointEntry(
            *row, starts.get(row[0]), row[0] in spot, row[0] in cold, versions.get(row[0])
        )
        for row in body["entries"]
    )
    return AgedSnapshot(EndpointSnapshot(body["revision"], entries), body["age_s"])


def crash_records_body(records: Iterable[CrashReport]) -> bytes:
    """Encode crash records, those of parts of prompts apart from those of requests."""
    requests, parts = [], []
    for record in records:
        rows = parts if is_part_key(record.fingerprint) else requests
        rows.append(crash_rows.record_row(record))
    return _compress({"crashes": requests} | ({"parts": parts} if parts else {}))


def read_crash_records(body: dict) -> list[CrashReport]:
    """Decode crash records."""
    rows = [*body["crashes"], *body.get("parts", ())]
    return [crash_rows.read_record(row) for row in rows]


def _endpoint_row(entry: EndpointEntry) -> list:
    """Encode an endpoint, in the order of the class's fields."""
    return [
        entry.endpoint_id,
        entry.service,
        entry.address,
        entry.failure_domain,
        entry.slots,
        entry.draining,
    ]


def _compress(body: dict) -> bytes:
    return zlib.compress(orjson.dumps(body), COMPRESSION_LEVEL)


def decompress(body: bytes) -> dict:
    """Decompress the body of a reply and parse its JSON.

    Raises:
      ValueError, zlib.error: The body is not compressed JSON.
    """
    return orjson.loads(zlib.decompress(body))
