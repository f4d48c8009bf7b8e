"""Drawn histories of fleets before endpoints that name rates, in virtual time.

rate_record  what an endpoint named and got, and the rule for that; the soak uses it too
endpoints    an endpoint that names a rate in its answers and records what arrives
network      datagrams between the drawn instances, with delays, losses and cuts
views        which members an instance takes for live, late as on a running fleet
fleet        instances with the real parts that keep to rates, and a plain choice of endpoints
ways         other ways to share a rate, to compare with
histories    draws losses, cuts, freezes and restarts, and checks what endpoints got
"""
