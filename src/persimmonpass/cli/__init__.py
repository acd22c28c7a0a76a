"""Command lines of the daemon, the tool and the platform programs."""
