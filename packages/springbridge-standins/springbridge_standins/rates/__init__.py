"""Random histories of fleets and endpoints that announce rate limits, in virtual time.

rate_record           limits and arrivals of an endpoint, and their rule; the soak uses it too
statement_record      the same for endpoints that leave or ask for rest
endpoints             an endpoint that announces limits in its answers and records its requests
network               datagrams between instances, with delays, losses and partitions
views                 the members that an instance takes for live, updated late as in a real fleet
fleet                 instances with the real rate limiting, and a simple choice of endpoints
ways                  other algorithms to share a rate, for comparison
histories             injects losses, partitions, freezes and restarts, and checks the arrivals
statement_histories   the same for endpoints that leave or ask for rest
"""
