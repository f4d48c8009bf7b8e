"""Measures how late the event loop of the soak is.

Stand-ins, callers and time limits of the checks share this loop. While it is late, engines answer
late, arrivals get late stamps and a time limit may pass before the news that would have met it.
The figure tells such a soak from one whose nodes are late.
"""

import asyncio

from springbridge_standins.gateway.soak.state import Soak

# Seconds between two measurements; a delay shorter than this may be missed.
INTERVAL_S = 0.05
# Name of the count that holds the longest delay.
LONGEST_DELAY = "ms longest delay of the event loop"


async def measure_delays_forever(soak: Soak) -> None:
    """Record the longest delay of the event loop until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + INTERVAL_S
        await asyncio.sleep(INTERVAL_S)
        late_ms = round((loop.time() - due_s) * 1000)
        soak.counts[LONGEST_DELAY] = max(soak.counts[LONGEST_DELAY], late_ms)
