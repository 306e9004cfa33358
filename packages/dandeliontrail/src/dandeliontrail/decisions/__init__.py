"""Decisions on requests: admission, queueing, placement, retries and hedges.

Nothing here does I/O or reads a clock, so that every decision can run in
tests without sockets, and in virtual time in the policy simulation.
"""
