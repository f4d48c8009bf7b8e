"""Stand-ins for the engines, services and platform around the class router, and a demo.

The nodes and the stand-ins of a test run as processes on loopback.
"""
