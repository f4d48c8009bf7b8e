"""Routing by class and table: the decisions of ``springbridge serve``."""
