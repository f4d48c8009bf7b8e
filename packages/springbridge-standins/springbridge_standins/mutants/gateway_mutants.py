"""Mutants of the gateway: routing, peers, configuration, overload and quarantine."""

from springbridge_standins.mutants.mutant import (
    LIBRARY,
    NODE,
    PLATFORM,
    STANDINS,
    Mutant,
)

REQUESTS = f"{PLATFORM}/requests_test.py"
REFUSALS = f"{PLATFORM}/refusals_test.py"
ELIGIBILITY = f"{LIBRARY}/routing/eligibility_test.py"
SELECTION_SERVER = f"{NODE}/gateway/peers/selection_server_test.py"
SELECTION_CLIENT = f"{NODE}/gateway/peers/selection_client_test.py"
CRASHING = f"{PLATFORM}/crashing_request_test.py"
QUARANTINE = f"{PLATFORM}/quarantine_test.py"
STORED = f"{PLATFORM}/stored_quarantine_test.py"
SUSPENSION = f"{PLATFORM}/suspension_test.py"
PERMITS = f"{NODE}/gateway/peers/trial_permits_test.py"
SIMULATION = f"{STANDINS}/crash_simulation_test.py"
NEWS = f"{STANDINS}/gateway/simulated_crash_sharing_test.py"
TUNNELS = f"{PLATFORM}/tunnels_test.py"
TRUNCATED = f"{PLATFORM}/truncated_answers_test.py"
HALF = "test_half_an_answer_never_reaches_its_caller_as_whole"
FOLLOWER = f"{NODE}/gateway/config/configuration_follower_test.py"

GATEWAY_MUTANTS = (
    Mutant(
        "only requests that an engine reports as not run are retried",
        f"{LIBRARY}/routing/retries.py",
        "return not attempts.may_have_run or is_repeatable(route)",
        "return True",
        f"{REQUESTS}::test_a_request_that_may_not_be_repeated_is_sent_once",
    ),
    Mutant(
        "an answer is in progress until its end is in the socket",
        f"{NODE}/gateway/callers/ingress.py",
        "await self._serve_to_end(request, answer)\n            await answer.wait_sent()\n",
        "await self._serve_to_end(request, answer)\n",
        f"{NODE}/gateway/callers/ingress_test.py",
    ),
    Mutant(
        "clients that hold too much together give way",
        f"{LIBRARY}/byte_budget.py",
        "        while self.held_bytes > limit:\n",
        "        while False:\n",
        f"{LIBRARY}/byte_budget_test.py",
    ),
    Mutant(
        "a request is refused by its head",
        f"{NODE}/gateway/inbound/connection_loop.py",
        "        decision = self._service.decide(head)\n",
        "        decision = float('inf')\n",
        f"{REFUSALS}::test_a_refusal_does_not_wait_for_its_body",
    ),
    Mutant(
        "a part of a request does not stand open for good",
        f"{NODE}/gateway/inbound/listener.py",
        "            if self._is_overdue(conn):\n",
        "            if False:\n",
        f"{REFUSALS}::test_a_request_that_does_not_go_on_is_answered",
    ),
    Mutant(
        "the work for a caller ends with its connection",
        f"{NODE}/gateway/inbound/connection.py",
        "        if is_serving and self.on_gone is not None:\n",
        "        if False:\n",
        f"{REQUESTS}::test_an_engine_stops_when_the_caller_leaves_before_the_answer",
    ),
    Mutant(
        "answers are matched by id",
        f"{NODE}/gateway/requests/endpoint_answer.py",
        "if answered == request_id:",
        "if True:",
        f"{PLATFORM}/answers_test.py::test_a_stale_answer_is_passed_over",
    ),
    Mutant(
        "an answer without the id of its request is no endpoint's",
        f"{NODE}/gateway/requests/endpoint_answer.py",
        "if answered == request_id:",
        'if answered in ("", request_id):',
        f"{PLATFORM}/foreign_answers_test.py",
    ),
    Mutant(
        "a row that cannot be read affects no other row",
        f"{LIBRARY}/item_reader.py",
        "        except Exception as exc:\n            unreadable",
        "        except UnreadableItemError as exc:\n            unreadable",
        f"{PLATFORM}/drawn_rows_test.py",
    ),
    Mutant(
        "an endpoint draws no more than its share by the slots that it states",
        f"{LIBRARY}/routing/stated_slots.py",
        "MAX_SLOTS_FACTOR = 1.5",
        "MAX_SLOTS_FACTOR = 1e9",
        f"{LIBRARY}/routing/stated_slots_test.py",
    ),
    Mutant(
        "events that the caller already has are dropped",
        f"{LIBRARY}/routing/continuation.py",
        "    if number <= last:\n",
        "    if number < 0:\n",
        f"{PLATFORM}/streams_test.py::test_events_that_come_twice_are_passed_on_once",
    ),
    Mutant(
        "the head of an answer that goes on with a stream says what the first one said",
        f"{NODE}/gateway/requests/attempt.py",
        "    if misfit is not None:\n",
        "    if misfit is None and False:\n",
        f"{PLATFORM}/continuations_test.py::test_what_is_not_the_rest_of_a_stream_cuts_it_off",
    ),
    Mutant(
        "the end of an answer without the next event is not the end of a stream",
        f"{LIBRARY}/routing/continuation.py",
        "        return Misfit.SHORT\n",
        "        return None\n",
        f"{PLATFORM}/continuations_test.py::test_what_is_not_the_rest_of_a_stream_cuts_it_off",
    ),
    Mutant(
        "an engine that is gone does not count as an attempt",
        f"{NODE}/gateway/requests/attempt.py",
        "exchange.progress.misdirected += 1",
        "pass",
        f"{REQUESTS}::test_an_engine_that_is_gone_does_not_count_among_those_a_request_may_use",
    ),
    Mutant(
        "retries draw on the retry budget",
        f"{NODE}/gateway/requests/endpoint_sender.py",
        "return self._parts.budget.try_retry(exchange.demand.service)",
        "return True",
        f"{REQUESTS}::test_second_tries_stay_within_the_budget",
    ),
    Mutant(
        "the grace of lapsed entries ends with the time to drain",
        f"{LIBRARY}/routing/eligibility.py",
        "return leaving.within_bound_s(MASS_LAPSE_GRACE_S, drain_s)",
        "return MASS_LAPSE_GRACE_S",
        f"{ELIGIBILITY}::test_lapsed_endpoints_get_nothing_once_the_time_to_drain_is_over",
    ),
    Mutant(
        "a single engine whose entry lapsed has left",
        f"{LIBRARY}/routing/eligibility.py",
        "return {service for service in total if missing[service] * 2 > total[service]}",
        "return set(total)",
        f"{ELIGIBILITY}::test_one_endpoint_that_vanished_over_an_outage_gets_nothing",
    ),
    Mutant(
        "relayed observations age",
        f"{LIBRARY}/digest.py",
        "observed.member.aged(now_s - observed.received_s, now_s - observed.heartbeat_s)",
        "observed.member",
        f"{LIBRARY}/membership_test.py::test_what_is_told_on_of_a_member_is_as_old_as_it_is",
    ),
    Mutant(
        "a relayed heartbeat counts from when it was sent",
        f"{LIBRARY}/membership.py",
        "heartbeat_s = now_s - member.heard_ago_s",
        "heartbeat_s = now_s",
        f"{LIBRARY}/membership_test.py"
        "::test_a_heartbeat_that_was_long_on_its_way_is_no_new_sign_of_life",
    ),
    Mutant(
        "a digest without ages is no heartbeat of a node that sends ages",
        f"{NODE}/gateway/peers/gossip.py",
        "0.0 if build_of(codec.heartbeat_of(row)) is Build.ROWS else NEVER_S",
        "0.0",
        f"{NODE}/gateway/peers/gossip_test.py"
        "::test_a_plain_digest_tells_no_age_of_a_node_that_sends_ages",
    ),
    Mutant(
        "only the confirmation of the version in force counts",
        f"{NODE}/gateway/config/configuration_follower.py",
        "if version == self.version:",
        "if True:",
        f"{FOLLOWER}::test_the_confirmation_of_another_version_does_not_count",
    ),
    Mutant(
        "a node whose version is not confirmed reads the store",
        f"{LIBRARY}/routing/store_freshness.py",
        "return is_reader or is_overdue(age_s, own_turn_s)",
        "return is_reader",
        f"{FOLLOWER}::test_a_node_whose_version_nobody_confirms_reads_the_store",
    ),
    Mutant(
        "substitutes for the readers of the store take turns",
        f"{NODE}/gateway/config/configuration_follower.py",
        "turn_s = self._readers.turn_s(FEED_READERS)",
        "turn_s = 0.0",
        f"{FOLLOWER}::test_an_unconfirmed_node_leaves_the_store_to_those_whose_turn_comes_first",
    ),
    Mutant(
        "a node that failed to read the list lets all others try first",
        f"{NODE}/gateway/config/endpoint_follower.py",
        "return is_old and self._clock() >= self._next_turn_s",
        "return is_old",
        f"{NODE}/gateway/config/endpoint_follower_test.py"
        "::test_a_node_that_failed_to_read_lets_all_others_try_before_it_tries_again",
    ),
    Mutant(
        "attempts that are not confirmed are dropped",
        f"{NODE}/gateway/peers/selection_server.py",
        "            if attempt.since_s > oldest_s:\n                return",
        "            return",
        f"{SELECTION_SERVER}::test_an_attempt_is_counted_once_and_only_while_it_is_confirmed",
    ),
    Mutant(
        "a request is counted once",
        f"{LIBRARY}/routing/endpoint_state.py",
        "        if notice.attempt_id in self.loads:\n            return\n",
        "",
        f"{SELECTION_SERVER}::test_an_attempt_is_counted_once_and_only_while_it_is_confirmed",
    ),
    Mutant(
        "a silent scheduler is skipped",
        f"{NODE}/gateway/peers/selection_client.py",
        "            self._coordinators.avoid(address)\n",
        "",
        f"{SELECTION_CLIENT}::test_a_silent_coordinator_is_skipped_and_the_next_one_asked",
    ),
    Mutant(
        "the client's own view of an engine counts",
        f"{NODE}/gateway/peers/selection_client.py",
        "usable = self._registry.candidates(demand.service, {*tried, *held_back})",
        "usable = list(self._registry._states.values()) or [None]",
        f"{SELECTION_CLIENT}::test_an_endpoint_that_the_client_may_not_use_is_not_taken",
    ),
    Mutant(
        "the least urgent requests are refused first",
        f"{LIBRARY}/routing/overload.py",
        "FULL_SHARE_BY_PRIORITY = (1.5, 0.75, 0.5)",
        "FULL_SHARE_BY_PRIORITY = (1.5, 1.5, 1.5)",
        f"{LIBRARY}/routing/overload_test.py",
    ),
    Mutant(
        "requests that would wait too long are refused",
        f"{LIBRARY}/routing/overload.py",
        "_is_full(state, demand) or _is_behind(state, demand) for",
        "_is_full(state, demand) for",
        f"{LIBRARY}/routing/overload_test.py"
        "::test_a_request_that_would_wait_too_long_for_its_target_is_refused",
    ),
    Mutant(
        "urgent requests wait longer than less urgent ones",
        f"{LIBRARY}/routing/overload.py",
        "return min(self.max_s, max(self.min_s, self.target_multiple * target_s))",
        "return self.target_multiple * target_s",
        f"{LIBRARY}/routing/overload_test.py"
        "::test_a_more_urgent_request_waits_longer_whatever_the_targets",
    ),
    Mutant(
        "the prefill speed of an engine is learnt",
        f"{LIBRARY}/routing/reading_speed.py",
        "self.tokens_per_s += SAMPLE_WEIGHT * (bounded - self.tokens_per_s)",
        "pass",
        f"{LIBRARY}/routing/reading_speed_test.py::test_a_steady_speed_is_learnt",
    ),
    Mutant(
        "a long backlog of prefill tokens weighs more",
        f"{LIBRARY}/routing/endpoint_cost.py",
        "return prefill_tokens + (UNREAD_WEIGHT - 1) * beyond",
        "return prefill_tokens",
        f"{LIBRARY}/routing/endpoint_choice_test.py::test_long_prompts_use_the_reserved_endpoint_when_the_others_are_far_behind",
    ),
    Mutant(
        "a request that crashed endpoints is recognized under another id",
        f"{NODE}/gateway/requests/request_fingerprint.py",
        "        exchange.admitted.customer.encode(),",
        "        exchange.request_id.encode(),",
        f"{CRASHING}::test_a_request_that_ends_endpoints_is_soon_sent_to_none",
    ),
    Mutant(
        "crashes reported by other nodes count",
        f"{NODE}/gateway/peers/crash_sharing.py",
        "        datagrams.handle(self._kind, self._receive)",
        "        datagrams.handle(Kind.CRASHES, lambda rows, sender: None)",
        f"{NEWS}::test_all_nodes_know_a_suspect_within_a_second",
    ),
    Mutant(
        "a successful end acquits a request",
        f"{LIBRARY}/crash_records.py",
        "        self._put(replace(record, acquitted_s=self._clock()))",
        "        self._put(record)",
        f"{LIBRARY}/crash_records_test.py"
        "::test_a_good_end_acquits_of_all_crashes_before_and_of_none_after",
    ),
    Mutant(
        "a suspect runs on one endpoint of the fleet at a time",
        f"{LIBRARY}/trials.py",
        "        if fingerprint in self._running:",
        "        if False:",
        f"{LIBRARY}/trials_test.py::test_a_suspect_runs_once_however_many_nodes_ask",
    ),
    Mutant(
        "nodes ask one coordinator for trial permits",
        f"{NODE}/gateway/peers/trial_permits.py",
        "        if not coordinators or self._coordinators.is_me(coordinators[0]):"
        "\n            return",
        "        if True:\n            return",
        f"{PERMITS}::test_one_of_all_nodes_that_ask_at_the_same_moment_may_send",
    ),
    Mutant(
        "a request that failed a trial waits for the next one",
        f"{LIBRARY}/trials.py",
        "        if now_s < due_s:",
        "        if False:",
        f"{SIMULATION}::test_a_poison_request_reaches_few_endpoints_after_its_third_crash",
    ),
    Mutant(
        "suspects of the same crashes are tried at different endpoints",
        f"{LIBRARY}/trials.py",
        "        if endpoint_id in full:",
        "        if False:",
        f"{LIBRARY}/trials_test.py"
        "::test_those_that_may_be_the_cause_are_tried_at_different_endpoints",
    ),
    Mutant(
        "a broken connection to an endpoint that keeps running is no crash",
        f"{NODE}/gateway/endpoints/crash_confirmation.py",
        "        return found is ProcessState.ENDED",
        "        return True",
        f"{QUARANTINE}::test_endpoints_that_fail_and_go_on_are_no_crashes",
    ),
    Mutant(
        "the quarantine survives the loss of all nodes",
        f"{NODE}/gateway/config/stored_quarantine.py",
        "            self._adopt(CrashReport(stored.fingerprint, crashes))",
        "            pass",
        f"{STORED}::test_after_the_loss_of_all_nodes_it_ends_no_further_endpoint",
    ),
    Mutant(
        "deadlines count a suspension",
        f"{NODE}/gateway/requests/attempt.py",
        "left_s = exchange.admitted.deadline_s - clock.now_s()",
        "left_s = exchange.admitted.deadline_s - __import__('time').monotonic()",
        f"{SUSPENSION}::test_a_deadline_that_is_sent_on_has_the_suspension_taken_off",
    ),
    Mutant(
        "timers count a suspension",
        f"{NODE}/clock.py",
        "    def time(self) -> float:",
        "    def other_time(self) -> float:",
        f"{SUSPENSION}::test_a_request_whose_time_passed_is_ended_and_sent_to_nobody",
    ),
    Mutant(
        "a process that has stopped does not wait for the teardown of the interpreter",
        f"{PLATFORM}/main.py",
        "    lifecycle.end_process()\n",
        "",
        f"{PLATFORM}/stop_test.py",
    ),
    Mutant(
        "requests in progress go on when a planned stop begins to refuse",
        f"{NODE}/gateway/lifecycle.py",
        "    gateway.refuse_new()\n",
        "    gateway.refuse_new()\n    [each.cancel() for each in gateway.listener.in_progress]\n",
        f"{PLATFORM}/freshness_test.py::"
        "test_a_planned_stop_cuts_nothing_off_and_is_not_ready_at_once",
    ),
    Mutant(
        "an answer that is reset behind a peer does not look whole",
        f"{NODE}/gateway/peers/tunnel_server.py",
        "            return exc.real_error is None",
        "            return True",
        f"{TUNNELS}::test_an_answer_without_a_length_that_is_reset_behind_a_peer_is_not_whole",
    ),
    Mutant(
        "a tunnel is reset unless its endpoint ended in order",
        f"{NODE}/gateway/peers/tunnel_server.py",
        "            reset_on_close(peer.socket)\n",
        "",
        f"{TRUNCATED}::{HALF}",
    ),
    Mutant(
        "the end of a tunnel of an older build completes no answer",
        f"{NODE}/gateway/requests/endpoint_answer.py",
        "    if not answer.connection.end_is_marked:",
        "    if False:",
        f"{TUNNELS}::test_the_end_of_a_tunnel_of_the_older_build_completes_no_answer",
    ),
    Mutant(
        "a stream that ends inside an event was broken off",
        f"{NODE}/gateway/requests/endpoint_answer.py",
        "    if is_inside_event:",
        "    if False:",
        f"{TRUNCATED}::{HALF}",
    ),
    Mutant(
        "an answer that this instance breaks off is not whole",
        f"{NODE}/gateway/http/http_connection.py",
        "        if self._aborted:\n",
        "        if False:\n",
        f"{TRUNCATED}::{HALF}",
    ),
    Mutant(
        "an answer whose endpoint ended with it is not whole",
        f"{NODE}/gateway/requests/endpoint_answer.py",
        "    if end in DOUBTFUL_ENDS:",
        "    if False:",
        f"{TRUNCATED}::{HALF}",
    ),
    Mutant(
        "another run at the address is no sign of the one that ended an answer",
        f"{LIBRARY}/routing/run_signs.py",
        "        return RunSign.OTHER_RUN\n",
        "        return RunSign.SAME_RUN\n",
        f"{PLATFORM}/ended_runs_test.py",
    ),
    Mutant(
        "in doubt the next endpoint is asked for the last event again",
        f"{LIBRARY}/routing/continuation.py",
        "    return position.before_last if may_be_whole else position.resume_after\n",
        "    return position.resume_after\n",
        f"{PLATFORM}/ended_runs_test.py",
    ),
    Mutant(
        "a peer opens tunnels for checks to endpoints that leave",
        f"{NODE}/gateway/peers/tunnel_server.py",
        "        if purpose is Purpose.CHECK:\n",
        "        if False:\n",
        f"{PLATFORM}/ended_runs_test.py",
    ),
    Mutant(
        "an answer that is cut off resets the connection that would mark its end",
        f"{NODE}/gateway/callers/answer.py",
        "            reset_on_close(self._connection.stream.socket)",
        "            pass",
        f"{TRUNCATED}::{HALF}",
    ),
    Mutant(
        "only members get tunnels",
        f"{NODE}/gateway/peers/tunnel_server.py",
        "        if not _is_member(self._membership, wanted.incarnation, remote_ip):\n",
        "        if False:\n",
        f"{TUNNELS}::test_only_members_get_tunnels_and_only_to_endpoints_of_the_list",
    ),
    Mutant(
        "no more requests are sent to a brittle endpoint than it may reject",
        f"{LIBRARY}/rates/places.py",
        "        if outstanding >= allowed:\n",
        "        if False:\n",
        f"{LIBRARY}/rates/places_test.py",
    ),
)
