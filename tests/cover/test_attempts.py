"""The outstanding attempts of a request: the first one and a hedge."""

import types

from dandeliontrail.decisions import attempts as attempts_module
from dandeliontrail.decisions import work as work_module


def attempt(server):
    return types.SimpleNamespace(server=server)


def with_hedge():
    """Return the first attempt of ``r`` at e1 with a hedge at e2."""
    attempts = attempts_module.Attempts()
    attempts.add("r", attempt("e1"))
    attempts.add("r", attempt("e2"), hedge=True)
    return attempts


def ended(server):
    return work_module.AttemptEnd("r", server)


def test_both_attempts_of_a_request_are_counted():
    attempts = with_hedge()
    assert len(attempts) == 2
    assert list(attempts) == ["r"]
    assert attempts.get("r").server == "e1"


def test_a_hedge_that_ends_leaves_the_first_attempt():
    attempts = with_hedge()
    assert attempts.take(ended("e2")).server == "e2"
    assert attempts.get("r").server == "e1"
    assert attempts.take(ended("e1")).server == "e1"
    assert not attempts and "r" not in attempts


def test_the_hedge_replaces_a_first_attempt_that_ends():
    attempts = with_hedge()
    assert attempts.take(ended("e1")).server == "e1"
    assert attempts.get("r").server == "e2"
    assert not attempts.hedges
    assert attempts.take(ended("")).server == "e2"
    assert attempts.take(ended("e2")) is None
