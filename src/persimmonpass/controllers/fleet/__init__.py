"""The hosts: membership, drain, copies of records, configuration."""
