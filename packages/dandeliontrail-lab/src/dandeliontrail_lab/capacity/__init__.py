"""Capacity: what each part costs at any size, from measured slopes.

All slopes are measured on one machine.  ``measure`` runs the probes and writes
the data file; ``tables`` generates the tables of docs/CAPACITY.md from it (see
:mod:`.command`).
"""
