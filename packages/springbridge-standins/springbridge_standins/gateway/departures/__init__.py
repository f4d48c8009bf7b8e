"""Streams whose engines end while they run: a rig of processes; see __main__.py."""
