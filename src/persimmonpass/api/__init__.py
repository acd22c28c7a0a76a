"""HTTP routes for callers and operators."""
