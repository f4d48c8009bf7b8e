"""Rows by another writer in the tables that nodes read: a rig of processes; see __main__.py."""
