"""What callers ask over HTTP."""
