"""Callers: accepts their requests, writes their answers, tells them which instances to use."""
