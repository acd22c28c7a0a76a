"""Clients of model engines and of plain services."""
