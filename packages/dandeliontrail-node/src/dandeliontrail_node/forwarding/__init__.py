"""Forwards requests of declared routes, unchanged, and their answers.

Beside the paths of :mod:`..listeners.callers`, whose bodies the node reads
and continues, a deployment may declare routes: any method and path, to any
service.  What callers and backend servers say on the wire about a request
differs between platforms; a :class:`.dialect.Dialect` reads and writes it.
"""
