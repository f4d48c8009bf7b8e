"""The soak of the gateway: node processes harmed from outside, promises checked all along."""
