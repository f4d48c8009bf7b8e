"""Checks that tests fail without the mechanism that they test: ``make mutants``.

Each mutant is tested in a copy of the packages with one mechanism removed, where the named test has
to fail. The checkout is not changed.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from springbridge_standins.mutants.duty_mutants import DUTY_MUTANTS
from springbridge_standins.mutants.fault_mutants import FAULT_MUTANTS
from springbridge_standins.mutants.gateway_mutants import GATEWAY_MUTANTS
from springbridge_standins.mutants.mutant import LIBRARY, NODE, Mutant
from springbridge_standins.mutants.part_mutants import PART_MUTANTS
from springbridge_standins.mutants.rate_mutants import RATE_MUTANTS
from springbridge_standins.mutants.statement_mutants import STATEMENT_MUTANTS
from springbridge_standins.mutants.version_mutants import VERSION_MUTANTS

ROOT = Path(__file__).parents[4]
TIMEOUT_S = 300.0


CLASS_ROUTER_MUTANTS = (
    Mutant(
        "check before dispatch",
        f"{LIBRARY}/classes/binding.py",
        "if record.stage is not Stage.WAITING:\n            return Failure(record.problem",
        "if False:\n            return Failure(record.problem",
        f"{LIBRARY}/classes/binding_test.py::test_dispatch_happens_once",
    ),
    Mutant(
        "a request has one home node",
        f"{NODE}/class_router/requests/home_lookup.py",
        "        home = record.moved_to or request_id.home\n",
        "        home = me\n",
        f"{NODE}/class_router/at_most_once_test.py::test_two_nodes_at_the_same_time",
    ),
    Mutant(
        "requests that are not repeatable are not retried",
        f"{NODE}/class_router/requests/work.py",
        "if not work.request.repeatable:\n        return Problem(Code.OUTCOME_UNKNOWN",
        "if False:\n        return Problem(Code.OUTCOME_UNKNOWN",
        f"{NODE}/class_router/at_most_once_test.py::test_service_reply_lost",
    ),
    Mutant(
        "streams are resumed by id after the home node is lost",
        f"{NODE}/class_router/requests/at_most_once.py",
        "if endpoint.kind is not EndpointKind.MODEL:",
        "if True:",
        f"{NODE}/class_router/at_most_once_test.py::test_home_lost_during_a_model_request",
    ),
    Mutant(
        "only the home node reports a request as not run",
        f"{NODE}/class_router/requests/at_most_once.py",
        "        return as_outcome_unknown(problem)\n\n    def serve",
        "        return problem\n\n    def serve",
        f"{NODE}/class_router/at_most_once_test.py::test_node_that_refuses_a_retry_does_not_say_that_it_was_not_run",
    ),
    Mutant(
        "a refused id stays refused",
        f"{NODE}/class_router/requests/at_most_once.py",
        "if at_home and self._bindings.refuse(request_id, owner):",
        "if at_home:",
        f"{NODE}/class_router/at_most_once_test.py::test_id_refused_by_a_limit_stays_refused",
    ),
    Mutant(
        "chunks checked by id and offset",
        f"{LIBRARY}/classes/stream.py",
        "        if chunk.offset != self.offset:",
        "        if False:",
        f"{NODE}/class_router/callers_test.py::test_spoiled_streams_never_make_a_success_that_is_not_whole",
    ),
    Mutant(
        "end marker required",
        f"{LIBRARY}/classes/stream.py",
        "        if self.ended:\n            return Success(None)",
        "        if True:\n            return Success(None)",
        f"{LIBRARY}/classes/binding_test.py::test_only_whole_answers_pass",
    ),
    Mutant(
        "lower tiers are refused before the top tier",
        f"{LIBRARY}/classes/slots/scheduler.py",
        "            yield from self._refuse_below(Tier.URGENT)\n",
        "",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_lower_tiers_are_cleared_before_the_top_tier_is_refused",
    ),
    Mutant(
        "preemption",
        f"{LIBRARY}/classes/slots/preemption.py",
        "    if not victims:\n        return None",
        "    if True:\n        return None",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_urgent_request_preempts_the_lowest_tier",
    ),
    Mutant(
        "minimum share of grants",
        f"{LIBRARY}/classes/slots/fair_queue.py",
        "MIN_SHARE_GRANTS = 20",
        "MIN_SHARE_GRANTS = 10**4",
        f"{LIBRARY}/classes/slots/fair_queue_test.py::test_higher_tier_goes_first_but_for_the_minimum_share",
    ),
    Mutant(
        "extra slot under top-tier overload",
        f"{LIBRARY}/classes/slots/minimum_share.py",
        "        self.holder = slot_request_id\n",
        "        return False\n",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_extra_slot_goes_to_the_class_that_lacked_it_longest",
    ),
    Mutant(
        "last slot stays preemptible",
        f"{LIBRARY}/classes/slots/endpoint_slots.py",
        "            slot_request.is_unpreemptible_lower_tier\n            and",
        "            False\n            and",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_unpreemptible_lower_tier_work_leaves_the_last_slot",
    ),
    Mutant(
        "concurrency limit learnt per tier",
        f"{LIBRARY}/classes/slots/concurrency.py",
        "        return min(self.tiers[tier].slots(now_s) for tier in tiers)",
        "        return min(limit.slots(now_s) for limit in self.tiers.values())",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_endpoint_without_urgent_streams_fills_up_to_looser_targets",
    ),
    Mutant(
        "failing engines suspended",
        f"{LIBRARY}/classes/endpoint_health.py",
        "        if now_s < self.suspended_until_s:\n            return 0",
        "        if False:\n            return 0",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_failing_endpoint_is_suspended_and_probed",
    ),
    Mutant(
        "lost releases are found by inventories",
        f"{LIBRARY}/classes/slots/scheduler.py",
        "            and slot_request_id not in kept",
        "            and False",
        f"{LIBRARY}/classes/slots/scheduler_test.py::test_lost_release_is_found_by_the_inventory",
    ),
    Mutant(
        "rate counted by the owner",
        f"{LIBRARY}/classes/limits.py",
        "        self.tokens -= starts\n",
        "",
        f"{LIBRARY}/classes/limits_test.py::test_rate_holds_for_the_sum",
    ),
    Mutant(
        "concurrency counted by the owner",
        f"{LIBRARY}/classes/limits.py",
        "        free = max(0, self.share.concurrency - others)",
        "        free = self.share.concurrency",
        f"{LIBRARY}/classes/limits_test.py::test_concurrency_holds_for_the_sum",
    ),
    Mutant(
        "failure domains as an intersection",
        f"{LIBRARY}/classes/placement.py",
        "request_class.failure_domains & customer.failure_domains",
        "request_class.failure_domains | customer.failure_domains",
        f"{LIBRARY}/classes/placement_test.py::test_failure_domains_are_the_intersection",
    ),
    Mutant(
        "freshness before serving",
        f"{NODE}/class_router/config/config_sync.py",
        "            self._may_serve = may_serve(self.confirmation, now_s, majority, peers)",
        "            self._may_serve = self.confirmation.version > 0",
        f"{NODE}/class_router/configuration_test.py::test_node_cut_off_from_table_and_peers_stops_serving",
    ),
    Mutant(
        "lost replies are resolved by reading back",
        f"{NODE}/class_router/config/table_store.py",
        "                return await self._settle(change)",
        "                return Failure(Problem(Code.TABLE_UNAVAILABLE))",
        f"{NODE}/class_router/platform_test.py::test_commit_under_faults",
    ),
    Mutant(
        "a repeated change is recognized by its id",
        f"{NODE}/class_router/config/editing.py",
        "            case Success(Change() as done):\n                return Success(done.version)",
        "            case Success(0):\n                return Success(0)",
        f"{NODE}/class_router/configuration_test.py::test_write_applied_but_reply_lost",
    ),
    Mutant(
        "leaving is final",
        f"{LIBRARY}/membership.py",
        "merged = member if phase is member.phase else replace(member, phase=phase)",
        "merged = member",
        f"{LIBRARY}/membership_test.py::test_leaving_is_final_and_spreads",
    ),
    Mutant(
        "silent nodes are not counted as live",
        f"{LIBRARY}/observations.py",
        "unsuspected = [each for each in self.all() if each.heartbeat_s >= limit_s]",
        "unsuspected = list(self.all())",
        f"{LIBRARY}/membership_test.py::test_silent_node_is_left_out_whatever_the_list_says",
    ),
    Mutant(
        "a planned stop waits for running requests",
        f"{NODE}/class_router/class_node.py",
        "        while self.parts.running or self.at_most_once.tasks:",
        "        while False:",
        f"{NODE}/class_router/callers_test.py::test_planned_stop_cuts_off_nothing",
    ),
    Mutant(
        "requests of disconnected callers are cancelled",
        f"{NODE}/class_router/callers/work_handler.py",
        "            self.task.cancel()",
        "            pass",
        f"{NODE}/class_router/callers_test.py::test_caller_gone_stops_the_engine",
    ),
    Mutant(
        "the own clock is checked before an order",
        f"{NODE}/class_router/endpoints/orders.py",
        "margin_s = 0.0 if endpoint.checks_tokens else LEASE_MARGIN_S",
        "margin_s = -1e9",
        f"{NODE}/class_router/platform_test.py::test_engine_that_does_not_check_gets_no_order_after_a_pause",
    ),
)

ALL_MUTANTS = (
    *CLASS_ROUTER_MUTANTS,
    *GATEWAY_MUTANTS,
    *DUTY_MUTANTS,
    *RATE_MUTANTS,
    *STATEMENT_MUTANTS,
    *PART_MUTANTS,
    *VERSION_MUTANTS,
    *FAULT_MUTANTS,
)


def is_killed(mutant: Mutant, folder: Path) -> bool:
    """Return whether the mutant's tests fail in a copy of the packages.

    Raises:
      ValueError: The text to replace does not occur exactly once.
      RuntimeError: Pytest did not run the tests.
    """
    copy = folder / "copy"
    shutil.copytree(ROOT / "packages", copy / "packages")
    for name in ("docs", "examples", "platform", "pyproject.toml"):
        source = ROOT / name
        (shutil.copytree if source.is_dir() else shutil.copy)(source, copy / name)
    module = copy / mutant.module
    text = module.read_text()
    if text.count(mutant.old) != 1:
        raise ValueError(
            f"{mutant.name}: the text to replace occurs {text.count(mutant.old)} times"
        )
    module.write_text(text.replace(mutant.old, mutant.new))
    paths = [str(path) for path in (*(copy / "packages").iterdir(), copy / "platform")]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
    command = [sys.executable, "-m", "pytest", "-x", "-q", mutant.tests]
    result = subprocess.run(
        command, cwd=copy, env=environment, capture_output=True, timeout=TIMEOUT_S
    )
    shutil.rmtree(copy)
    if result.returncode not in (0, 1):
        raise RuntimeError(result.stdout.decode()[-500:])
    return result.returncode == 1


def main(
    only: Annotated[str, typer.Option(help="Only mutants with this text in their name.")] = "",
) -> None:
    """Run the tests of the mutants; exit with 1 if they pass for one."""
    survivors = 0
    for mutant in ALL_MUTANTS:
        if only not in mutant.name:
            continue
        with tempfile.TemporaryDirectory() as folder:
            killed = is_killed(mutant, Path(folder))
        survivors += not killed
        print(f"{'fails' if killed else 'PASSES'} without: {mutant.name}", flush=True)
    print(f"{survivors} mutants survive: their tests do not depend on the mechanism")
    sys.exit(1 if survivors else 0)
