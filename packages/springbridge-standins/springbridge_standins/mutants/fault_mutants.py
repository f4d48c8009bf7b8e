"""Mutants of how unforeseen exceptions are met, and of connections without peers."""

from springbridge_standins.mutants.mutant import LIBRARY, NODE, PLATFORM, Mutant

UNFORESEEN = f"{PLATFORM}/unforeseen_test.py"
REQUESTS = f"{NODE}/gateway/requests"
ENDPOINTS = f"{NODE}/gateway/endpoints"

FAULT_MUTANTS = (
    Mutant(
        "a direct connection is waited for where there is no peer",
        f"{ENDPOINTS}/connector.py",
        "            await _wait_for_either(direct, through)\n",
        "            if through is not None:\n"
        "                await _wait_for_either(direct, through)\n",
        f"{ENDPOINTS}/connector_test.py",
    ),
    Mutant(
        "a refusal over a lost path is no end of an endpoint",
        f"{ENDPOINTS}/connector.py",
        "if not is_refused or not self._paths.lost():",
        "if True:",
        f"{ENDPOINTS}/connector_test.py",
    ),
    Mutant(
        "a request that was sent is not called not run",
        f"{LIBRARY}/routing/giving_up.py",
        '    if attempts.may_have_run:\n        return Problem(Code.OUTCOME_UNKNOWN, "fault")\n',
        "",
        f"{UNFORESEEN}::test_after_a_send_the_outcome_is_called_unknown",
    ),
    Mutant(
        "what only takes notes of a request takes no answer",
        f"{REQUESTS}/request_faults.py",
        "        log_fault(exchange, exc, Stage.RECORD)\n",
        "        raise\n",
        f"{UNFORESEEN}::test_a_part_that_only_takes_notes_takes_no_answer_from_a_caller",
    ),
    Mutant(
        "a connection is given back whatever ends the attempt",
        f"{REQUESTS}/endpoint_sender.py",
        "            self._parts.pool.discard(state.entry.incarnation, connection)\n"
        "            raise\n",
        "            raise\n",
        f"{UNFORESEEN}::test_before_a_send_the_request_is_served_or_refused_as_not_run",
    ),
    Mutant(
        "an end that cannot be verified is no whole answer",
        f"{REQUESTS}/endpoint_sender.py",
        "            found = VerifiedEnd(AnswerEnd.SILENT)\n",
        "            found = VerifiedEnd(AnswerEnd.CLOSED)\n",
        f"{UNFORESEEN}::test_an_answer_whose_end_cannot_be_verified_is_not_passed_on_as_whole",
    ),
)
