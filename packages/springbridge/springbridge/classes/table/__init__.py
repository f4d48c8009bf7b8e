"""The operators' table: its rows, records and changes, and whether a node's copy is fresh."""
