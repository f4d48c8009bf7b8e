"""Mutants of the handling of endpoint statements: leaving, and requests for rest."""

from springbridge_standins.mutants.mutant import LIBRARY, NODE, PLATFORM, Mutant

ROUTING = f"{LIBRARY}/routing/statements_in_routing_test.py"
LEAVING = f"{PLATFORM}/leaving_test.py"
REST = f"{PLATFORM}/rest_test.py"
SHARING = f"{NODE}/gateway/peers/statement_sharing_test.py"

STATEMENT_MUTANTS = (
    Mutant(
        "leaving: an endpoint that says it leaves gets no more requests",
        f"{LIBRARY}/routing/eligibility.py",
        "if leaving.wants_nothing(said.leaving, now_s):",
        "if False:",
        f"{LEAVING}::test_an_endpoint_that_says_it_leaves_gets_no_more_requests",
    ),
    Mutant(
        "leaving: use as a last resort is bounded in time",
        f"{LIBRARY}/statements/leaving.py",
        "return now_s < heard_s + within_bound_s(MAX_LAST_RESORT_S, drain_s)",
        "return True",
        f"{LEAVING}::test_an_endpoint_that_says_it_leaves_gets_no_more_requests",
    ),
    Mutant(
        "leaving: the statement outlasts the entry",
        f"{LIBRARY}/routing/endpoint_registry.py",
        "EndpointState(entry, statements=said)",
        "EndpointState(entry)",
        f"{ROUTING}::test_a_lapse_and_the_return_of_the_entry_do_not_revive_it",
    ),
    Mutant(
        "leaving: an older copy does not restore an earlier incarnation",
        f"{LIBRARY}/routing/older_lists.py",
        "return one.born_ms < other.born_ms",
        "return False",
        f"{LIBRARY}/routing/older_lists_test.py",
    ),
    Mutant(
        "leaving: a statement counts for the run that the list names late",
        f"{LIBRARY}/routing/endpoint_registry.py",
        "                self.statements.carry_over(entry.incarnation)\n",
        "",
        f"{LIBRARY}/routing/late_lists_test.py",
    ),
    Mutant(
        "leaving: peers are notified",
        f"{NODE}/gateway/requests/statement_watch.py",
        "            self._sharing.on_leaving(entry.incarnation)\n",
        "",
        f"{LEAVING}::test_one_answer_tells_all_nodes_while_the_store_is_out",
    ),
    Mutant(
        "leaving: a peer's report expires",
        f"{LIBRARY}/statements/leaving.py",
        "now_s < at_s + counts_s",
        "True",
        SHARING,
    ),
    Mutant(
        "leaving: reports on another incarnation are ignored",
        f"{NODE}/gateway/peers/statement_sharing.py",
        "return state is not None and state.entry.incarnation == incarnation",
        "return True",
        SHARING,
    ),
    Mutant(
        "rest: a resting endpoint is no candidate",
        f"{LIBRARY}/routing/eligibility.py",
        "if said.rest is not None and not rests.may_send(said.rest, now_s):",
        "if False:",
        f"{REST}::test_an_endpoint_that_asks_for_rest_gets_it",
    ),
    Mutant(
        "rest: of two rests the later end counts",
        f"{LIBRARY}/statements/rests.py",
        "until_s if known is None else max(known.until_s, until_s)",
        "until_s",
        f"{LIBRARY}/statements/rests_test.py",
    ),
    Mutant(
        "rest: a single request is sent at its end",
        f"{NODE}/gateway/requests/endpoint_sender.py",
        "        self._parts.registry.record_send(choice.state)\n",
        "",
        f"{REST}::test_at_the_end_of_a_rest_one_request_goes_first",
    ),
    Mutant(
        "rest: a request that waited is checked again before it is sent",
        f"{NODE}/gateway/requests/endpoint_sender.py",
        "        return self._parts.registry.may_get_request(state, progress.last_resort)\n",
        "        return True\n",
        f"{PLATFORM}/change_while_waiting_test.py",
    ),
    Mutant(
        "rest: it is no failure",
        f"{NODE}/gateway/requests/attempt.py",
        "        AttemptOutcome.TURNED_AWAY\n"
        "        if metadata.statements.rest_s is None\n"
        "        else AttemptOutcome.ASKED_REST\n",
        "        AttemptOutcome.TURNED_AWAY\n",
        f"{REST}::test_a_wish_for_rest_is_no_failure_and_takes_nothing_from_others",
    ),
    Mutant(
        "rest: callers are spread after its end",
        f"{LIBRARY}/statements/returns.py",
        "max(0.0, first_end_in_s) + SPREAD_S * (refused_before * STEP % 1.0)",
        "max(0.0, first_end_in_s)",
        f"{LIBRARY}/statements/returns_test.py",
    ),
    Mutant(
        "a retry that is not sent is refunded to the budget",
        f"{NODE}/gateway/requests/endpoint_sender.py",
        "                self._parts.budget.refund(exchange.demand.service)\n",
        "                pass\n",
        f"{REST}::test_a_retry_that_is_not_sent_goes_back_to_the_budget",
    ),
)
