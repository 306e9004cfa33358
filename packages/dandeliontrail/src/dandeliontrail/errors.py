"""All errors that the library raises to its embedders.

Inside the library, a decision against a request is a value and not an
exception (see :mod:`dandeliontrail.sentinels`).  Each error below states what
went wrong and, in ``remedy``, what the reader can do about it.
"""


class DandeliontrailError(Exception):
    """Base class of all errors; ``remedy`` describes how to resolve it."""

    def __init__(self, message, remedy):
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class InvariantBroken(DandeliontrailError):
    """The program reached a state that should be impossible.

    This is always a bug in the program, never a fault of its input.
    """


class SettingsError(DandeliontrailError):
    """An instance's settings file holds a value that cannot be used."""


class ResourceInvalid(DandeliontrailError):
    """An operator's object is invalid; ``field`` is the path of the field."""

    def __init__(self, field, message, remedy):
        super().__init__(f"{field}: {message}", remedy)
        self.field = field


class VersionConflict(DandeliontrailError):
    """A conditional write expected a version that is not the current one.

    ``present`` is the current version of the object.
    """

    def __init__(self, present):
        super().__init__(
            f"The object is at version {present}.",
            "read it again, repeat the change on top, and resend with the"
            " present version",
        )
        self.present = present


class StorageError(DandeliontrailError):
    """The data folder cannot be used in its current state."""


class StorageRefused(StorageError):
    """The disk refused a write; all earlier synced writes still hold."""
