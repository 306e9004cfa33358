"""Coordination of instances: membership, records, quorum log, usage."""
