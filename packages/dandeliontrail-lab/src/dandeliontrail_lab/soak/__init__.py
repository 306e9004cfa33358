"""Long randomised runs over real processes, with the promises checked.

Instances are killed, frozen, drained and robbed of their disks, engines
crash and fall silent, and operators race, while numbered requests go
through.  What callers were told is then compared with what engines ran.
"""
