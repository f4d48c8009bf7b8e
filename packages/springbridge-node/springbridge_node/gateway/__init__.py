"""The gateway: the program that runs on the platform."""
