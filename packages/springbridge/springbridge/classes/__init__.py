"""Routing by request class and operators' table: the library behind ``springbridge serve``."""
