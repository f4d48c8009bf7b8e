"""The operators' table: read, edited and kept in force."""
