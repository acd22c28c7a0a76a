"""Closures that read the blackboard, decide with policy and act."""
