"""Routing by host and path: the decision rules for a request, one module each, without any I/O.

In the order in which a request passes them:

admission            which route, customer and service a request belongs to, or why it is refused
eligibility          which endpoints may get a request
overload             when a request is refused because its endpoints are overloaded
coordinators         which instances choose endpoints for the others in a large fleet
endpoint_choice      which of the eligible endpoints gets a request
selection            the endpoint for one attempt: eligibility, overload and choice combined
retries              whether a request may be retried, and how long to wait for a silent endpoint
shared_retry_budget  how many retries all instances together may send
giving_up            the final answer to a request that is not sent to a further endpoint
retry_after          the Retry-After time of a refused request

Independent of a single request:

store_freshness      which instances read configuration and endpoint list, and when these count as
                     confirmed
readiness            when an instance is ready for callers
planned_stop         when a stopping instance notifies its peers, refuses requests, and exits
evacuations          which failure domains the operators have evacuated

Shared data and state: `records` (configuration, endpoints, facts of a request),
`endpoint_registry` and `endpoint_state` (what an instance knows of endpoints), `load_notices`,
`listed_entries`, `older_lists`, `prompt_load`, `prefix_cache`, `reading_speed`,
`reserved_endpoints`, `endpoint_cost`, `ejection` and `event_stream`.
"""
