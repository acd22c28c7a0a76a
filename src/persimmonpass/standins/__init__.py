"""Test doubles for the platform, model engines and plain services.

Each one is an HTTP server that can inject faults.
"""
