"""Mutants of the quarantine of parts of prompts."""

from springbridge_standins.mutants.mutant import LIBRARY, NODE, PLATFORM, Mutant

FLEET = (
    f"{PLATFORM}/crashing_part_test.py"
    "::test_a_part_that_crashes_endpoints_is_kept_from_them_and_other_prompts_are_served"
)
RULES = f"{LIBRARY}/part_quarantine_test.py"
GATE = f"{NODE}/gateway/requests/part_gate_test.py"

PART_MUTANTS = (
    Mutant(
        "a failed trial refuses only what holds all its suspects",
        f"{LIBRARY}/part_quarantine.py",
        "        return bool(left) and left <= suspects\n",
        "        return not left.isdisjoint(suspects)\n",
        f"{RULES}::test_a_failed_trial_refuses_only_what_holds_all_its_suspects",
    ),
    Mutant(
        "an answer of the last seconds speaks for a part",
        f"{LIBRARY}/part_quarantine.py",
        "        return not self.is_credited(key)\n",
        "        return True\n",
        f"{RULES}::test_a_part_that_was_answered_in_the_last_seconds_is_no_suspect",
    ),
    Mutant(
        "a whole request that explains all crashes makes a trial inconclusive",
        f"{LIBRARY}/part_quarantine.py",
        "        return any(most.counted <= record.counted for record in requests)\n",
        "        return False\n",
        f"{RULES}::test_a_trial_is_inconclusive_if_a_whole_request_explains_all_crashes",
    ),
    Mutant(
        "one trial at a time for a suspect",
        f"{LIBRARY}/part_trials.py",
        "            return WAIT\n        pause_s",
        "            pass\n        pause_s",
        f"{LIBRARY}/part_trials_test.py::test_one_trial_at_a_time_is_granted_for_a_suspect",
    ),
    Mutant(
        "what has been written for long is not counted in a crash",
        f"{NODE}/gateway/requests/part_gate.py",
        "        if has_proved(exchange):\n            return\n",
        "",
        f"{GATE}::test_a_crash_counts_against_what_has_not_been_written_for_long",
    ),
    Mutant(
        "a failure of the endpoint's own clears no part",
        f"{NODE}/gateway/requests/part_gate.py",
        "        is_delivered = end is AttemptOutcome.DELIVERED and is_success(exchange)\n",
        "        is_delivered = end is not AttemptOutcome.BROKEN\n",
        f"{GATE}::test_only_an_answer_or_a_long_enough_part_of_one_clears_a_part",
    ),
    Mutant(
        "a node that starts is sent the suspected parts",
        f"{NODE}/gateway/requests/quarantine_parts.py",
        "        return [*self.sharing.suspects(), *self._part_sharing.suspects()]\n",
        "        return self.sharing.suspects()\n",
        f"{FLEET}[started-node]",
    ),
)
