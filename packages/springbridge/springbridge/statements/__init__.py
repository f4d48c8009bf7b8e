"""What endpoints say of themselves in the heads of their answers, and how long it holds.

An endpoint may say three things: that it leaves, that it wants a rest from the instance which it
answers, and the rate of requests that it takes from all instances (`springbridge.rates` has the
rule for that one). `answer_statements` has the records, `leaving` and `rests` the rules, and
`statement_table` keeps what was said by each incarnation.

Relies on a monotonic clock in seconds. Nothing here waits or does input or output.
"""
