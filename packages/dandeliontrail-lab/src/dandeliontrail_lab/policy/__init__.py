"""Policy bench: the real decision code against a simple engine model."""
