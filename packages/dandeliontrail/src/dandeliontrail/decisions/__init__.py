"""What is decided under load: admit, queue, refuse, place, shift, retry.

Nothing here does I/O or reads a clock, so that every decision runs in a
test without sockets and in virtual time on the policy bench.
"""
