"""Small stand-ins for what surrounds springbridge: engines, plain services and the platform.

They exist for tests, the demo and measurements, and are no part of a deployment.
"""
