"""A randomised fault soak over the platform's programs as real processes.

    python -m tests.soak --seed 7 --seconds 40

Faults come from outside the programs: signals that stop, kill and freeze
them, folders that vanish between two starts, and proxies that delay, reset,
silence or cut one way the connections to backend servers and to control.
What callers, servers and the operator see is checked against the promises.
"""
