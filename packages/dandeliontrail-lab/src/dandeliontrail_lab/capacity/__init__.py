"""What each part costs at any size, from slopes measured on one machine.

``measure`` runs the probes and writes the data file, ``page`` makes the
tables of docs/CAPACITY.md from it; see :mod:`.command`.
"""
