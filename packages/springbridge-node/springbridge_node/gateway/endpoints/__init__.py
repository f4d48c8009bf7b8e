"""Endpoints: connections that are kept, and the words in which they are spoken to."""
