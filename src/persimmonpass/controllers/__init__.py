"""Controllers: read the blackboard, decide by policy and act."""
