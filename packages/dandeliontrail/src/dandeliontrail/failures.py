"""Failures of components, as the reducer reports them.

A component that raises must not stop the others, nor take with it effects
whose causes are in the state already.  The reducer therefore calls all
components and passes each exception on to a :class:`FailureHandler`.
"""

import abc

import msgspec

TICK = "Tick"


class Failure(msgspec.Struct):
    """An exception of a component.

    ``event`` is the type of the event or of the peer's message, or ``TICK``;
    ``source`` is the peer and ``request_id`` the request that it was about,
    if any.
    """

    component: str
    event: str
    error: Exception
    source: str = ""
    request_id: str = ""


class FailureHandler(abc.ABC):
    """Decides what happens when a component has failed."""

    @abc.abstractmethod
    def component_failed(self, failure):
        """Handle a failure; called once for each, while it is caught."""


class RaiseFailures(FailureHandler):
    """Raises each failure, so that none is missed without an embedder."""

    def component_failed(self, failure):
        """Raise the component's exception."""
        raise failure.error


def of_event(component, event, exc):
    """Return the failure of a component at an event."""
    request_id = getattr(event, "request_id", "")
    return Failure(component, type(event).__name__, exc, "", request_id)


def of_message(component, event, exc):
    """Return the failure of a component at a peer's message."""
    name = type(event.message).__name__
    return Failure(component, name, exc, event.source.instance)
