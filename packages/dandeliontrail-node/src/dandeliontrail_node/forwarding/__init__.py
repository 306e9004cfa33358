"""Forwards requests of declared routes and their answers, unchanged.

The paths of :mod:`..listeners.callers` have request bodies that the instance
parses and whose answers it can continue.  In addition a deployment may
declare routes, with any method and path, to any service.  The headers by
which callers and backend servers describe a request differ between
platforms; a :class:`.dialect.Dialect` reads and writes them.
"""
