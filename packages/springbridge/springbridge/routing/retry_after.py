"""Retry-After: how many seconds the caller of a refused request should wait before a retry.

Covers every refusal by the gateway that a later retry may overcome. A request that may have run and
one that no route or key allows get no Retry-After.
Many callers retry only once, so a time that is too short leads them into the same refusal and loses
them; a time that is too long wastes capacity that has become free.

| refused because                                 | function                  | seconds          |
| ----------------------------------------------- | ------------------------- | ---------------- |
| the instance has no configuration yet           | `without_configuration`   | 0.5              |
| the same, while the store does not answer       | `without_configuration`   | 3                |
| no endpoint of the service can be reached       | `while_endpoints_restart` | 4                |
| endpoints turned it away or deadline, not run   | `when_endpoint_full`      | 0.1 x target     |
| endpoints are overloaded for its priority       | `after_overload`          | 2 + excess wait  |
| the rates of its endpoints are exhausted        | `rates.held_back`         | until its turn   |
| its endpoints rest                              | `statements.returns`      | until rests end  |
| nobody knows which version began its stream     | `while_origin_unknown`    | 0.5              |
| endpoints of its stream's version serve nothing | `while_origin_unknown`    | 0.5              |
| a similar request is on trial                   | `while_on_trial`          | 1                |
| similar requests crashed endpoints              | `quarantine`              | until its trial  |
| the instance is at the end of its planned stop  | `while_leaving`           | 0.05             |
| serving it met an unforeseen exception          | `after_node_fault`        | 0.5              |
| the instance has no room for its body           | `without_room`            | 0.5              |

The excess wait is the backlog beyond the longest one behind which the request would be sent.
`giving_up`, `overload` and the gateway use these times.
"""

# For callers of an instance that has just started and has no configuration yet. A start is short.
RETRY_AT_START_S = 0.5
# Keeps callers that retry only once from retrying during the outage, which lasts for seconds.
RETRY_IN_OUTAGE_S = 3.0

# Time that a crashed endpoint takes to start; keeps callers from retrying before it serves again.
RESTART_S = 4.0

# Share of the route's target after which a full endpoint is likely to have a free slot. A tenth
# leaves the caller most of its target.
FULL_TARGET_SHARE = 0.1
# Lower bound in seconds. Protects endpoints from callers of routes with very short targets, which
# would otherwise retry at once.
MIN_FULL_RETRY_S = 0.05

# Keeps callers from retrying within the same burst, which lasts for seconds.
BURST_S = 2.0

# Enough for the caller to open a connection to another instance, which serves it at once. Short,
# because nothing has to recover first.
LEAVING_S = 0.05

# Time in which a node reads the list again or another one is heard again. Another instance may know
# at once.
ORIGIN_UNKNOWN_S = 0.5

# Time in which what met the fault has probably changed here. Another instance may serve at once.
NODE_FAULT_S = 0.5

# Time in which some of the requests that had the room have been served. Another instance may have
# room at once.
WITHOUT_ROOM_S = 0.5

# Time that most requests take; keeps callers from retrying before the trial has ended.
ON_TRIAL_S = 1.0

assert RETRY_AT_START_S < RETRY_IN_OUTAGE_S, "an outage lasts longer than a start"


def without_configuration(store_is_up: bool) -> float:
    """Return Retry-After in seconds while the instance has no configuration.

    Args:
      store_is_up: Whether the store answered this instance's last call.
    """
    return RETRY_AT_START_S if store_is_up else RETRY_IN_OUTAGE_S


def while_endpoints_restart() -> float:
    """Return Retry-After in seconds if no endpoint could be reached."""
    return RESTART_S


def when_endpoint_full(target_s: float) -> float:
    """Return Retry-After in seconds after endpoints turned a request away.

    Args:
      target_s: The route's target for the time to the first event, in seconds.
    """
    return max(MIN_FULL_RETRY_S, target_s * FULL_TARGET_SHARE)


def after_overload(backlog_s: float, longest_wait_s: float) -> float:
    """Return Retry-After in seconds after a refusal for overload.

    By then the backlog is short enough and a burst may be over.

    Args:
      backlog_s: Shortest backlog among the endpoints, in seconds of reading.
      longest_wait_s: Longest backlog behind which the request would be sent, in seconds.
    """
    return BURST_S + max(0.0, backlog_s - longest_wait_s)


def while_origin_unknown() -> float:
    """Return Retry-After in seconds if a stream cannot go on here and may at another instance."""
    return ORIGIN_UNKNOWN_S


def while_on_trial() -> float:
    """Return Retry-After in seconds while a similar request is on trial."""
    return ON_TRIAL_S


def while_leaving() -> float:
    """Return Retry-After in seconds for a retry at another instance while this one stops."""
    return LEAVING_S


def without_room() -> float:
    """Return Retry-After of an instance that has no room for a request, in seconds."""
    return WITHOUT_ROOM_S


def after_node_fault() -> float:
    """Return Retry-After in seconds after an unforeseen exception, before anything was sent."""
    return NODE_FAULT_S
