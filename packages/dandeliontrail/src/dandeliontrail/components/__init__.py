"""The components of the reducer, each handling its own event types."""
