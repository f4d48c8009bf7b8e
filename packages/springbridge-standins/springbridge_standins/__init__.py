"""Stand-ins for the systems around springbridge: endpoints, plain services and the platform.

They serve tests, the demo and measurements, and are not part of a deployment.
"""
