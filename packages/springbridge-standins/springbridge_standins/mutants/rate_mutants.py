"""Mutants of the rate limits that endpoints name: statements, permits and held-back requests."""

from springbridge_standins.mutants.mutant import LIBRARY, NODE, PLATFORM, Mutant

STATEMENTS = f"{LIBRARY}/rates/statements_test.py"
TABLE = f"{LIBRARY}/rates/rate_table_test.py"
GRANTS = f"{LIBRARY}/rates/grants_test.py"
HELD_BACK = f"{LIBRARY}/rates/held_back_test.py"
PARTS = f"{NODE}/gateway/requests/rate_parts_test.py"
NAMED_RATE = f"{PLATFORM}/named_rate_test.py"

RATE_MUTANTS = (
    Mutant(
        "a rate: requests need a permit",
        f"{NODE}/gateway/requests/endpoint_sender.py",
        "if not await self._parts.rates.gate.acquire_permit(exchange, entry):",
        "if False:",
        f"{NAMED_RATE}::test_an_endpoint_gets_no_more_than_the_rate_that_it_names",
    ),
    Mutant(
        "a rate: it is read from refusals too",
        f"{PLATFORM}/answer_headers.py",
        "rate=_stated_rate(headers.get(names.ENDPOINT_RATE)),",
        "rate=_stated_rate(headers.get(names.ENDPOINT_RATE) if head.status < 400 else None),",
        f"{NAMED_RATE}::test_a_rate_named_with_a_refusal_holds",
    ),
    Mutant(
        "a rate: an answer that may be older does not lift it",
        f"{LIBRARY}/rates/statements.py",
        "return _is_stricter(new.per_s, known.per_s)",
        "return True",
        TABLE,
    ),
    Mutant(
        "a rate: an older answer does not restore it",
        f"{LIBRARY}/rates/statements.py",
        "if new.received_s <= known.sent_s:\n        return False",
        "if False:\n        return False",
        STATEMENTS,
    ),
    Mutant(
        "a rate: a new incarnation of an endpoint has none",
        f"{LIBRARY}/rates/rate_table.py",
        "if ended or incarnation not in incarnations:",
        "if ended:",
        TABLE,
    ),
    Mutant(
        "a rate: the end of an earlier incarnation's rate keeps that of the later one",
        f"{LIBRARY}/rates/rate_table.py",
        "self._limited.discard(incarnation)\n        else:",
        "self._limited.clear()\n        else:",
        TABLE,
    ),
    Mutant(
        "held back: an endpoint for which a request got no permit, whatever the outcome",
        f"{NODE}/gateway/requests/rate_gate.py",
        "exchange.progress.held_back.add(entry.endpoint_id)",
        "pass",
        PARTS,
    ),
    Mutant(
        "permits: unused ones accumulate up to the bucket size only",
        f"{LIBRARY}/rates/grants.py",
        "permits.left = min(permits.left + refill, _bucket_size(per_s))",
        "permits.left = permits.left + refill",
        GRANTS,
    ),
    Mutant(
        "permits: a node that has just started grants none to itself",
        f"{NODE}/gateway/peers/rate_permits.py",
        "if settling_s > 0.0:",
        "if False:",
        PARTS,
    ),
    Mutant(
        "permits: the last one is kept for a more urgent request",
        f"{LIBRARY}/rates/grants.py",
        "needed = 2.0 if is_reserved else 1.0",
        "needed = 1.0",
        GRANTS,
    ),
    Mutant(
        "permits: a new granter grants little",
        f"{LIBRARY}/rates/granters.py",
        "return reached_share if tenure_s >= HANDOVER_S else HANDOVER_SHARE * reached_share",
        "return reached_share",
        PARTS,
    ),
    Mutant(
        "permits: a granter grants the share of the fleet that it reaches",
        f"{NODE}/gateway/peers/rate_permits.py",
        "self._share = self._membership.reached_share()",
        "self._share = 1.0",
        PARTS,
    ),
    Mutant(
        "permits: an unused one is returned",
        f"{NODE}/gateway/requests/rate_gate.py",
        "if is_limited and exchange.progress.sends == sends:",
        "if False:",
        PARTS,
    ),
    Mutant(
        "permits: a node of an older build is not asked",
        f"{NODE}/gateway/peers/granter_set.py",
        "if self._can_grant(each.heartbeat)",
        "if True",
        PARTS,
    ),
    Mutant(
        "permits: a substitute is asked while the granter is silent",
        f"{NODE}/gateway/peers/rate_permits.py",
        "self._granters.mark_silent(granter)",
        "pass",
        PARTS,
    ),
    Mutant(
        "news of rates: a change is pushed to peers at once",
        f"{NODE}/gateway/peers/statement_sharing.py",
        "self._send([incarnation], self._push_targets())\n        else:",
        "pass\n        else:",
        PARTS,
    ),
    Mutant(
        "news of rates: nodes that start receive the rates",
        f"{NODE}/gateway/peers/statement_sharing.py",
        "if new_peers:",
        "if False:",
        PARTS,
    ),
    Mutant(
        "held back: a more urgent request passes",
        f"{LIBRARY}/rates/held_back.py",
        "if any(rank <= priority and hold.until_s > now_s for rank, hold in holds.items())",
        "if any(hold.until_s > now_s for hold in holds.values())",
        HELD_BACK,
    ),
    Mutant(
        "held back: refused callers return one after another",
        f"{LIBRARY}/rates/held_back.py",
        "self._next_return_s[service] = return_s + pace_s",
        "pass",
        HELD_BACK,
    ),
)
