"""The parts of the reducer, each with the events that it answers to."""
