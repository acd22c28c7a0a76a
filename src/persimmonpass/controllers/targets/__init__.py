"""What hosts know of targets: load, failures, limits, ways, orders."""
