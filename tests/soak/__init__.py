"""A randomised fault soak over the platform's programs as real processes.

    python -m tests.soak --seed 7 --seconds 40

Faults come from outside the programs: signals that stop, kill, freeze and
reload them, folders that vanish between two starts, disks that stall or are
full, a time of day that jumps, and proxies that delay, reset, silence, refuse
or cut one way the connections between instances and to backend servers.  A
seed decides its faults alone.  What callers, servers and the operator see is
checked against the promises.
"""
