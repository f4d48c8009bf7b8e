"""The soak of the class router: nodes and stand-ins as processes, faults drawn at random."""
