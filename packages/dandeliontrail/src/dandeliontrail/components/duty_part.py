"""What each kind of call to the platform brings along."""

import abc


class DutyPart(abc.ABC):
    """One kind of call: when it is due, and what is known of its answers.

    Only the holder of the lease asks it.
    """

    @abc.abstractmethod
    def tick(self, now):
        """Return the effects of what is to be decided at ``now``."""

    @abc.abstractmethod
    def next(self, now):
        """Return the call that is due, or ``None``."""

    @abc.abstractmethod
    def took(self, call, now):
        """Take note that the platform has taken a call."""

    @abc.abstractmethod
    def put_off(self, call, until):
        """Make a call again at ``until``."""

    @abc.abstractmethod
    def fields(self, call):
        """Return what the log says of a call."""
