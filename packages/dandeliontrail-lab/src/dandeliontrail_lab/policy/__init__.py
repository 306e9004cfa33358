"""The policy bench: the real decision code against a small engine model."""
