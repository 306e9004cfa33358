"""Reducers of single instances."""

import random

import dandeliontrail


def new_reducer(instance="i1", **options):
    """Return the reducer of an instance in ``fd1``, with a fixed seed."""
    identity = dandeliontrail.Identity(instance, "fd1", "r1", 1)
    return dandeliontrail.new_reducer(identity, random.Random(0), **options)
