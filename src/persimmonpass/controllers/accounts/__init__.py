"""Controllers of client accounts."""
