"""How instances act together: membership, records, log, usage."""
