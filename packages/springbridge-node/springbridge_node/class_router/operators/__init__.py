"""What operators ask over HTTP."""
