"""Rates that endpoints name: how many requests a second one takes from all instances together.

statements  what an answer says of its endpoint's rate, and which of two statements is the newer one
rate_table  the rates that are in force, by endpoint
granters    which instance grants the permits of an endpoint, and for which part of its rate
grants      the permits that a granter has, and who gets the next one
held_back   endpoints to which an instance may not send now, and when refused callers may return

Nothing here waits or does input or output; rates are requests a second, times are seconds.
"""
