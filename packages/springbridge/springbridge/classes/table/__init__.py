"""The operators' table: rows, records, changes, and how fresh a copy of it is."""
