"""Parses the HTTP answers on one connection, in order.

A faulty server may send bytes after a complete answer, or a late second
answer where the answer to the next request is expected.  So every message on
the connection becomes an :class:`Answer` of its own, and the reader decides
which of them belongs to its request.
"""

import collections
import enum

from .. import http_library
from . import answer_bounds

ParseError = http_library.HTTPParseError
BODILESS_STATUSES = (204, 304)
# Those that the parser decodes (RFC 9112, section 7); ``identity`` is none.
TRANSFER_CODINGS = ("chunked", "identity")


class UnknownCoding(ParseError):
    """The body has a transfer coding that cannot be decoded here."""


class InvalidStatus(ParseError):
    """The status is none of HTTP's, so that the message is no answer."""


class AnswerEnd(enum.Enum):
    """What told that an answer is complete (RFC 9112, section 6.3).

    ``HEAD`` is that of an answer without a body.
    """

    HEAD = "head"
    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CONNECTION = "connection"


class Answer:
    """One answer; ``body`` holds the bytes that were not taken yet.

    ``body_bytes`` counts all bytes of the body.  ``end`` is ``None`` until
    the answer is complete.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "body_bytes",
        "head_done",
        "end",
    )

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.body_bytes = 0
        self.head_done = False
        self.end = None

    @property
    def is_interim(self):
        """Whether the final answer follows."""
        return self.status in http_library.INTERIM_STATUSES

    @property
    def complete(self):
        """Whether the answer has ended as its sender meant it."""
        return self.end is not None

    def get(self, name):
        """Return the value of the first header ``name``, or ''.

        ``name`` is given in lower case.
        """
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return ""

    def values(self, name):
        """Return the values of all headers ``name``, given in lower case."""
        return [
            value for header, value in self.headers if header.lower() == name
        ]

    def announced_bytes(self):
        """Return the length of the body that the head names, else 0."""
        length = self.get("content-length")
        return int(length) if length.isascii() and length.isdigit() else 0

    def take(self):
        """Return the body received so far and clear it."""
        data = bytes(self.body)
        self.body.clear()
        return data


class AnswerParser(http_library.HTTPResponseParser):
    """Turns the bytes of a connection into :class:`Answer` objects.

    :meth:`feed` raises ``answer_bounds.TooLarge`` if a head, or the framing of
    a body, goes beyond its bound, ``InvalidStatus`` for a status that is none,
    and ``UnknownCoding`` for a body that cannot be decoded.

    With ``answers_head`` they answer a HEAD request, and have no body whatever
    their head says.

    The parser is that of geventhttpclient.  Its own response class keeps one
    message at a time and discards it when the next begins.
    """

    def __init__(self, answers_head=False):
        super().__init__()
        self.answers = collections.deque()
        self._answers_head = answers_head
        self._field = ""
        self._value = ""
        self._in_value = False
        # Bytes that belong to no body, and those of bodies.
        self._other_bytes = 0
        self._body_bytes = 0
        self._interim_answers = 0
        self._in_head = True
        self._connection_ended = False
        self._has_unknown_coding = False
        self._invalid_status = None

    def feed(self, data):
        """Parse the next bytes."""
        bodies = self._body_bytes
        super().feed(data)
        self._other_bytes += len(data) - (self._body_bytes - bodies)
        self._check_bounds()
        self._check_status()
        self._check_codings()

    def end_connection(self):
        """Handle the orderly end of the connection by the server.

        This completes an answer that has neither a length nor chunks.
        Raises ``ParseError`` if another answer is incomplete.
        """
        self._connection_ended = True
        super().feed(b"")

    def _check_bounds(self):
        if self._interim_answers > answer_bounds.MAX_INTERIM_ANSWERS:
            raise answer_bounds.TooLarge("too many interim answers")
        if self._in_head:
            if self._other_bytes > answer_bounds.MAX_HEAD_BYTES:
                raise answer_bounds.TooLarge(
                    "the head of the answer is too long"
                )
        elif self._other_bytes > (
            answer_bounds.MAX_HEAD_BYTES
            + answer_bounds.MAX_FRAMING_BYTES
            + answer_bounds.MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        ):
            raise answer_bounds.TooLarge("the framing of the body is too long")
        if (
            self.answers
            and len(self.answers[-1].headers) > answer_bounds.MAX_HEADERS
        ):
            raise answer_bounds.TooLarge("the answer has too many headers")

    def _check_status(self):
        if self._invalid_status is not None:
            raise InvalidStatus(f"the status {self._invalid_status:03}")

    def _check_codings(self):
        if not self._has_unknown_coding:
            return
        codings = self.answers[-1].values("transfer-encoding")
        raise UnknownCoding(f"the transfer coding {', '.join(codings)}")

    def _is_decoded(self, answer):
        """Return whether the body arrives here as it was before its coding."""
        codings = answer.values("transfer-encoding")
        return self._is_bodiless(answer) or (
            len(codings) <= 1
            and all(
                value.strip().lower() in TRANSFER_CODINGS for value in codings
            )
        )

    def _is_bodiless(self, answer):
        return self._answers_head or answer.status in BODILESS_STATUSES

    def pop(self):
        """Remove the oldest answer and return it."""
        return self.answers.popleft()

    def _on_message_begin(self):
        self.answers.append(Answer())
        self._in_head = True

    def _on_status(self, text):
        """Ignore the reason phrase."""

    def _on_header_field(self, text):
        if self._in_value:
            self._finish_header()
        self._field += text

    def _on_header_value(self, text):
        self._in_value = True
        self._value += text

    def _finish_header(self):
        if self._field:
            self.answers[-1].headers.append((self._field, self._value))
        self._field = ""
        self._value = ""
        self._in_value = False

    def _on_headers_complete(self):
        self._finish_header()
        answer = self.answers[-1]
        answer.status = self.get_code()
        answer.head_done = True
        self._in_head = answer.is_interim
        if not answer.is_interim and (
            answer.status not in http_library.FINAL_STATUSES
        ):
            self._invalid_status = answer.status
        self._has_unknown_coding = not self._is_decoded(answer)
        # Whether the answer has no body.
        return self._answers_head

    def _on_body(self, data):
        answer = self.answers[-1]
        answer.body += data
        answer.body_bytes += len(data)
        self._body_bytes += len(data)

    def _on_message_complete(self):
        answer = self.answers[-1]
        if answer.is_interim:
            self.answers.pop()
            self._interim_answers += 1
            return
        answer.end = self._end_of(answer)

    def _end_of(self, answer):
        """Return the end of an answer, ``None`` if it is cut short.

        What follows a message that is no answer is none either.
        """
        if self._invalid_status is not None:
            return None
        if self._is_bodiless(answer):
            return AnswerEnd.HEAD
        if self._has_unknown_coding:
            return None
        has_length = bool(answer.get("content-length"))
        if self._connection_ended:
            return None if has_length else AnswerEnd.CONNECTION
        if answer.get("transfer-encoding"):
            return AnswerEnd.LAST_CHUNK
        return AnswerEnd.LENGTH if has_length else AnswerEnd.HEAD
