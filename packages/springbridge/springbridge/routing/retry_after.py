"""Retry-After: when the caller of a refused request should come back, in seconds.

What is decided: the `Retry-After` of every refusal of the gateway that may pass if the caller tries
again. A request that may have run and one that no route or key allows get none.
Inputs: what refused the request, with backlogs and targets in seconds. Outcome: seconds from now.
Why: many callers come back only once, so a time that is too short sends them into the same refusal
and loses them; a time that is too long wastes capacity that is free again.

| refused because                                 | function                  | seconds          |
| ----------------------------------------------- | ------------------------- | ---------------- |
| the instance has no configuration yet           | `without_configuration`   | 0.5              |
| the same, while the store does not answer       | `without_configuration`   | 3                |
| no endpoint of the service can be reached       | `while_endpoints_restart` | 4                |
| endpoints turned it away or time ran out unsent | `when_endpoint_full`      | 0.1 x target     |
| every endpoint has too much for its priority    | `after_overload`          | 2 + backlog over |
| the rates of its endpoints are spent            | `rates.held_back`         | until its turn   |
| its endpoints rest                              | `statements.returns`      | until they end   |
| a request like it is on trial                   | `while_on_trial`          | 1                |
| requests like it ended endpoints                | `quarantine`              | until its trial  |
| the instance is at the end of its planned stop  | `while_leaving`           | 0.05             |

Relies on nothing; `giving_up`, `overload` and the gateway take their times from here.
"""

# Protects callers of an instance that has just started, until its first configuration is there. A
# start is short.
DUE_AT_START_S = 0.5
# Protects callers that come back only once from the rest of an outage, which lasts for seconds.
DUE_IN_OUTAGE_S = 3.0

# Protects callers from coming back before a crashed endpoint serves again: the time one takes to
# start.
RESTART_S = 4.0

# Share of the route's target after which an endpoint that was full is likely to have a free slot;
# it leaves the caller most of its target. A tenth.
FULL_TARGET_SHARE = 0.1
# Protects endpoints from callers of routes with very short targets that would come back at once. A
# floor.
FULL_LEAST_S = 0.05

# Protects callers from coming back into the same burst, which lasts for seconds.
BURST_S = 2.0

# Long enough for the caller to open a connection to another instance, which serves it at once.
# Short because nothing has to recover first.
LEAVING_S = 0.05

# Protects callers of a request whose trial goes on from coming back before it has ended. The time
# that most requests take.
ON_TRIAL_S = 1.0

assert DUE_AT_START_S < DUE_IN_OUTAGE_S, "an outage lasts longer than a start"


def without_configuration(store_is_up: bool) -> float:
    """Return when to come back to an instance that has no configuration yet, in seconds.

    Args:
      store_is_up: Whether the store answered this instance's last call.
    """
    return DUE_AT_START_S if store_is_up else DUE_IN_OUTAGE_S


def while_endpoints_restart() -> float:
    """Return when to come back if no endpoint could be reached, in seconds."""
    return RESTART_S


def when_endpoint_full(target_s: float) -> float:
    """Return when to come back after endpoints turned a request away, in seconds.

    Args:
      target_s: Time to the first event that the request's route aims at, in seconds.
    """
    return max(FULL_LEAST_S, target_s * FULL_TARGET_SHARE)


def after_overload(backlog_s: float, longest_wait_s: float) -> float:
    """Return when to come back after a refusal for overload, in seconds.

    By then the backlog is short enough and a burst may be over.

    Args:
      backlog_s: Shortest backlog among the endpoints, in seconds of reading.
      longest_wait_s: Longest backlog behind which the request would be sent, in seconds.
    """
    return BURST_S + max(0.0, backlog_s - longest_wait_s)


def while_on_trial() -> float:
    """Return when to come back while another request like it is on trial, in seconds."""
    return ON_TRIAL_S


def while_leaving() -> float:
    """Return when to come back, to another instance, if this one is stopping, in seconds."""
    return LEAVING_S
