"""Encodes and decodes what nodes send each other: rows in datagrams, bodies of HTTP replies.

A row is a JSON list whose fields are known by their position, which keeps datagrams small. During a
rollout nodes of two builds exchange rows, so the order of the fields, their rounding and the
numbers of the enums are fixed; codec_test.py compares them byte by byte.

Decoding raises ValueError, TypeError, KeyError or IndexError on rows that no node sends.
"""

import base64
import zlib
from collections.abc import Callable
from dataclasses import replace

import orjson
from springbridge.membership import Member, Phase, SnapshotStatus
from springbridge.routing.load_notices import LoadNotice, LoadPhase
from springbridge.routing.overload import Overload
from springbridge.routing.records import Demand, EndpointEntry, EndpointSnapshot, PromptPart

from springbridge_node.gateway.config.endpoint_follower import AgedSnapshot
from springbridge_node.gateway.config.platform_store import ConfigurationDocument
from springbridge_node.gateway.peers.row_fields import number, text, texts, whole
from springbridge_node.gateway.peers.selection_messages import SelectionReply, SelectionRequest

# Decimals of an age in seconds. Far finer than the 1.1 s for which a configuration or endpoint list
# counts as confirmed.
AGE_DECIMALS = 2
# Phases of notices about an endpoint itself, which name no attempt.
ABOUT_ENDPOINT = (LoadPhase.UNREACHED, LoadPhase.GONE)
# Level of zlib, its fastest: bodies are sent rarely, to many nodes at the same moment.
COMPRESSION_LEVEL = 1


def state_row(member: Member) -> list:
    """Return the row of what changes about a member; enough for peers that know the member."""
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
    """Return the row of a whole member, for peers that may not know it."""
    fixed = [member.instance, member.peer_address, member.caller_address, member.failure_domain]
    return state_row(member) + fixed


def read_member(
    row: list, find: Callable[[str], Member | None], heard_ago_s: float = 0.0
) -> Member | None:
    """Return the member of a row of either kind.

    Args:
      find: Returns the member of an incarnation as this node knows it.
      heard_ago_s: Age of the member's last sign of life, which is not in the row.

    Returns:
      None for the state of a member that this node does not know; the next whole row adds it.
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
    """Return the heartbeat in a member's row of either kind."""
    return whole(row[1])


def incarnation_of(row: list) -> str:
    """Return the incarnation in a member's row of either kind."""
    return text(row[0])


def notice_row(notice: LoadNotice) -> list:
    """Return the row of a load notice; only one of a start has the facts of the prompt."""
    row = [int(notice.phase), notice.attempt_id, notice.endpoint_id]
    if notice.phase in ABOUT_ENDPOINT and notice.born_ms is not None:
        # Older builds read no attempt in such a row, and no row with a further field.
        row[1] = str(notice.born_ms)
    if notice.phase is LoadPhase.STARTED:
        parts = _prompt_rows(notice.prompt_parts)
        row += [notice.prompt_tokens, parts, notice.fetched_tokens]
    return row


def read_notice(row: list) -> LoadNotice:
    """Return the load notice of a row."""
    phase, attempt_id, endpoint_id, *prompt = row
    if phase in ABOUT_ENDPOINT:
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
    """Return the row of a request to select an endpoint."""
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
    """Return the request of a row."""
    count, attempt_id, tried, avoided, *demand = row
    return SelectionRequest(
        whole(count), text(attempt_id), texts(tried), texts(avoided), _read_demand(demand)
    )


def _read_demand(row: list) -> Demand:
    """Return the demand at the end of a request's row."""
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
    """Return the row of a coordinator's reply."""
    refusal = None if reply.overload is None else _overload_row(reply.overload)
    return [reply.number, reply.endpoint_id, reply.source_id, reply.fetched_tokens, refusal]


def read_reply(row: list) -> SelectionReply:
    """Return the reply of a row."""
    count, endpoint_id, source_id, fetched_tokens, refusal = row
    overload = None if refusal is None else Overload(*(number(field) for field in refusal))
    return SelectionReply(
        whole(count), text(endpoint_id), text(source_id), whole(fetched_tokens), overload
    )


def _overload_row(overload: Overload) -> list:
    """Return the row of an overload, in the order of the record's fields."""
    return [overload.backlog_s, overload.longest_wait_s, overload.in_flight]


def _prompt_rows(parts: tuple[PromptPart, ...]) -> list[list]:
    """Return a row for each part of a prompt."""
    return [[part.part_id, part.tokens] for part in parts]


def _read_prompt(rows: list[list]) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt from their rows."""
    return tuple(PromptPart(text(part_id), whole(tokens)) for part_id, tokens in rows)


def configuration_body(document: ConfigurationDocument) -> bytes:
    """Return the compressed body that holds a configuration as the operators wrote it."""
    raw = base64.b64encode(document.raw).decode()
    return _compress({"version": document.version, "document": raw})


def read_configuration(body: dict) -> ConfigurationDocument:
    """Return the configuration of a decompressed body."""
    return ConfigurationDocument(body["version"], base64.b64decode(body["document"]))


def snapshot_body(aged: AgedSnapshot) -> bytes:
    """Return the compressed body that holds a list of endpoints and its age."""
    entries = aged.snapshot.entries
    body = {
        "revision": aged.snapshot.revision,
        "age_s": aged.age_s,
        "entries": [_endpoint_row(entry) for entry in entries],
    }
    # Beside the rows, because older builds take rows of six fields only and pass over the rest.
    starts = {entry.endpoint_id: entry.born_ms for entry in entries if entry.born_ms is not None}
    spot = [entry.endpoint_id for entry in entries if entry.spot]
    cold = [entry.endpoint_id for entry in entries if entry.cold]
    further = {"born": starts, "spot": spot, "cold": cold}
    return _compress(body | {name: field for name, field in further.items() if field})


def read_snapshot(body: dict) -> AgedSnapshot:
    """Return the list of endpoints of a decompressed body."""
    starts = body.get("born", {})
    spot, cold = set(body.get("spot", ())), set(body.get("cold", ()))
    entries = tuple(
        EndpointEntry(*row, starts.get(row[0]), row[0] in spot, row[0] in cold)
        for row in body["entries"]
    )
    return AgedSnapshot(EndpointSnapshot(body["revision"], entries), body["age_s"])


def _endpoint_row(entry: EndpointEntry) -> list:
    """Return the row of an endpoint, in the order of the record's fields."""
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
    """Return a reply's body as a mapping.

    Raises:
      ValueError, zlib.error: It is not one.
    """
    return orjson.loads(zlib.decompress(body))
