"""Fleet-wide rate limits: an endpoint states how many requests a second it takes in total.

statements  the rate that a response states, and which of two statements replaces the other
rate_table  the rates in force, by endpoint
granters    which instance grants the permits of an endpoint, and for which share of its rate
grants      the token buckets of a granter, and who gets the next permit
held_back   endpoints to which an instance may not send now, and when refused callers may retry

Nothing here waits or does input or output; rates are requests a second, times are seconds.
"""
