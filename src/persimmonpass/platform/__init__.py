"""Adapter to the users' platform: its names, formats and calls.

It contains no decisions and no policies.
"""
