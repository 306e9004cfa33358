"""The attempts of a request, of which it may have two."""

import types

from dandeliontrail.decisions import attempts as attempts_module
from dandeliontrail.decisions import work as work_module


def attempt(server):
    return types.SimpleNamespace(server=server)


def both():
    made = attempts_module.Attempts()
    made.add("r", attempt("e1"))
    made.add("r", attempt("e2"), hedge=True)
    return made


def ended(server):
    return work_module.Ended("r", server)


def test_both_attempts_of_a_request_are_counted():
    made = both()
    assert len(made) == 2
    assert list(made) == ["r"]
    assert made.get("r").server == "e1"


def test_the_hedge_that_ends_leaves_the_first():
    made = both()
    assert made.take(ended("e2")).server == "e2"
    assert made.get("r").server == "e1"
    assert made.take(ended("e1")).server == "e1"
    assert not made and "r" not in made


def test_the_hedge_takes_the_place_of_the_first():
    made = both()
    assert made.take(ended("e1")).server == "e1"
    assert made.get("r").server == "e2"
    assert not made.hedges
    assert made.take(ended("")).server == "e2"
    assert made.take(ended("e2")) is None
