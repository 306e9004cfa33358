"""The interface of what decides which calls to the platform are due."""

import abc


class CallScheduler(abc.ABC):
    """Schedules one kind of call to the platform and records its answers.

    Only the holder of the lease uses it.
    """

    @abc.abstractmethod
    def tick(self, now):
        """Return the effects of the decisions that are due at ``now``."""

    @abc.abstractmethod
    def next_call(self, now):
        """Return the call that is due, or ``None``."""

    @abc.abstractmethod
    def record_accepted(self, call, now):
        """Record that the platform accepted a call."""

    @abc.abstractmethod
    def retry_at(self, call, until):
        """Have a call repeated, not before ``until``."""

    @abc.abstractmethod
    def log_fields(self, call):
        """Return the fields that a log line about a call contains."""
