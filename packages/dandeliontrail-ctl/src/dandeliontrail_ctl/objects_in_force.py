"""Reads the objects in force, and lets an instance validate a change."""

import typing

import dandeliontrail
from dandeliontrail.resources import findings
import msgspec

from . import api
from . import documents

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_RESPONSE_SECONDS = 5.0
REJECTED = "rejected"
# The statuses by which an instance says that it does not accept a change:
# invalid, an object that does not exist, a conflict, and a body too long.
REJECTION_STATUSES = (400, 404, api.HTTP_CONFLICT, 413)


class Unreadable(dandeliontrail.DandeliontrailError):
    """The objects in force cannot be read; ``source`` is the path or URL."""

    def __init__(self, source, message, remedy):
        super().__init__(message, remedy)
        self.source = source


class Item(msgspec.Struct):
    """An object in a listing; what else it contains is ignored."""

    name: str
    spec: dict[str, typing.Any]


class Listing(msgspec.Struct):
    """The objects of a kind."""

    items: list[Item]


class Folder:
    """Objects in a file or folder that stand for those in force."""

    def __init__(self, path):
        self._path = path

    def read(self):
        """Return the objects as operations.

        Raises :class:`Unreadable`.
        """
        try:
            found = documents.read_documents(self._path)
        except documents.UnreadablePath as exc:
            raise Unreadable(str(exc.path), exc.message, exc.remedy)
        return documents.operations_of(found)

    def validate(self, objects, found):
        """Return no findings: no instance is asked."""
        return []


class Server:
    """The objects in force at an instance."""

    def __init__(self, client):
        client.bound_responses(MAX_RESPONSE_BYTES, MAX_RESPONSE_SECONDS)
        self._client = client

    def read(self):
        """Return the objects as operations.

        Raises :class:`Unreadable` if the instance does not list them.
        """
        try:
            found = [
                documents.Document(kind, item.name, item.spec)
                for kind in documents.KINDS_IN_APPLY_ORDER
                for item in self._list(kind)
            ]
        except api.ApiError as exc:
            raise Unreadable(self._client.url, exc.message, exc.remedy)
        return documents.operations_of(found)

    def _list(self, kind):
        listing = self._client.get(kind)
        try:
            return msgspec.convert(listing, Listing).items
        except msgspec.ValidationError as exc:
            raise api.ApiError(
                0,
                f"{self._client.url} sent no listing of {kind}: {exc}.",
                "check that --server names an operators listener",
            )

    def validate(self, objects, found):
        """Return the error that the instance reports for a change, if any.

        An error with the field of one of the errors in ``found`` is omitted.
        """
        body = documents.encode_change(objects)
        try:
            self._client.post("changes?dry_run=true", body=body)
        except api.ApiError as exc:
            if exc.status not in REJECTION_STATUSES:
                return [
                    findings.error(
                        findings.UNREADABLE,
                        self._client.url,
                        exc.message,
                        exc.remedy,
                    )
                ]
            return _rejection(exc, self._client.url, found)
        return []


def _rejection(exc, url, found):
    field, separator, message = exc.message.partition(": ")
    if not separator or " " in field:
        # A conflict, for example, concerns no field.
        return [findings.error(REJECTED, url, exc.message, exc.remedy)]
    if any(_has_field(item, field) for item in found):
        return []
    return [findings.error(REJECTED, field, message, exc.remedy)]


def _has_field(finding, field):
    """Return whether an error concerns ``field`` of an instance's message.

    An instance names a field of a spec without the object.
    """
    return finding.level is findings.Level.ERROR and (
        finding.field == field or finding.field.endswith(f".{field}")
    )
