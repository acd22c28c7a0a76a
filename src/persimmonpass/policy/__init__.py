"""Decision functions without I/O and without access to a clock."""
