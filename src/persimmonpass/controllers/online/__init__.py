"""Requests of online callers: queue, send, retry, resume."""
