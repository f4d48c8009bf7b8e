"""Routing by host and path: the rules that decide on a request, one module each, without any I/O.

In the order of a request's way:

admission            which route, customer and service a request belongs to, or why it is refused
eligibility          which endpoints may get a request
overload             when a request is refused because its endpoints have too much
coordinators         which instances choose for the others in a large fleet
endpoint_choice      which of the eligible endpoints gets a request
selection            the endpoint of one attempt: eligibility, overload and choice together
retries              whether another endpoint may get a request, and how long silence is waited for
shared_retry_budget  how many retries all instances together may send
giving_up            which answer a request gets that no further endpoint gets
retry_after          when the caller of a refused request should come back

Beside a request's way:

freshness            who reads configuration and endpoint list, and when they count as confirmed
planned_stop         when a stopping instance tells its peers, refuses requests, and ends

What they work with: `records` (configuration, endpoints, a request's facts), `endpoint_registry`
and `endpoint_state` (what an instance knows of endpoints), `load_notices`, `prompt_load`,
`prefix_cache`, `reading_speed` and `event_stream`.
"""
