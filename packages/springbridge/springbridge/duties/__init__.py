"""Singleton duties: usage reports and autoscaling, which one instance does for the whole fleet.

    lease           which instance does a duty, under a lease with a fencing token
    true_time       the time of day without the jumps of an instance's clock
    usage           how many requests of each customer endpoints began, by time window
    usage_reports   which windows are reported, and with which counts
    demand          how much work callers send to a service
    scaling         how many endpoints of each kind a service should have in each failure domain

Nothing here waits or does input or output; times are seconds.
"""
