"""Status statements that endpoints make in response headers, and how long these hold.

An endpoint may state three things: that it is leaving, that it wants no requests for a while (a
rest) from the instance that it responds to, and the request rate that it takes from all instances
(`springbridge.rates` has the rules for that one). `answer_statements` has the records, `leaving`
and `rests` the rules, `returns` the Retry-After of callers refused because of rests, and
`statement_table` keeps the statements of each incarnation.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""
