"""The operators' table: its rows, records and changes, and whether a copy of it is fresh."""
