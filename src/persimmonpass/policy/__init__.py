"""Pure decisions: no input, no output and no clock."""
