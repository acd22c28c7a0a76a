"""Controllers of client accounts on the gateway."""
