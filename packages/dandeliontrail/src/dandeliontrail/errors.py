"""Every error that the library raises to those who embed it.

Inside the library a decision that goes against a request is a value, not an
exception (see :mod:`dandeliontrail.sentinels`).  The kinds below are for the
outside: each says what went wrong and, in ``remedy``, what the reader of the
message can do about it.
"""


class DandeliontrailError(Exception):
    """The root of all errors here; ``remedy`` names the way out."""

    def __init__(self, message, remedy):
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class InvariantBroken(DandeliontrailError):
    """The program reached a state that its authors ruled out.

    This is always a fault of the program, never of its input.
    """


class SettingsError(DandeliontrailError):
    """An instance's settings file holds a value that cannot be used."""


class ResourceInvalid(DandeliontrailError):
    """An operator's object failed a check; ``field`` names the place."""

    def __init__(self, field, message, remedy):
        super().__init__(f"{field}: {message}", remedy)
        self.field = field


class VersionConflict(DandeliontrailError):
    """A conditional write named a version that is no longer present.

    ``present`` is the version that the object has now.
    """

    def __init__(self, present):
        super().__init__(
            f"The object is at version {present}.",
            "read it again, repeat the change on top, and resend with the"
            " present version",
        )
        self.present = present


class StorageError(DandeliontrailError):
    """The data folder cannot be used as it stands."""


class StorageRefused(StorageError):
    """The disk took no write; all that was promised before still holds."""
