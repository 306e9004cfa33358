"""The operators' objects: their shape, their checks and their store."""
