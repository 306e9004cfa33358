"""Randomised fault-injection runs over real processes.

While numbered requests are sent, instances are killed, frozen, drained or
lose their disks, engines crash or stop responding, and operators make
concurrent writes.  Afterwards the responses that callers received are
compared with what the engines ran, and the system's invariants are
checked.
"""
