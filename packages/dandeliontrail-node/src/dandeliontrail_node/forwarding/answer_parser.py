"""Reads the answers that come over one connection, one after the other.

A faulty server may send bytes after a complete answer, or a second answer
late, where the next one is due.  So every message on the connection becomes
an :class:`Answer` of its own, in order, and whoever reads decides which is
the one that was asked for.
"""

import collections

from geventhttpclient import response as library

ParseError = library.HTTPParseError


class Answer:
    """One answer; ``body`` holds what has not been taken out yet."""

    __slots__ = ("status", "headers", "body", "head_done", "complete")

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.head_done = False
        self.complete = False

    def get(self, name):
        """Return the first header called ``name`` in lower case, or ''."""
        for held, value in self.headers:
            if held.lower() == name:
                return value
        return ""

    def take(self):
        """Return the body so far and empty it."""
        taken = bytes(self.body)
        self.body.clear()
        return taken


class AnswerParser(library.HTTPResponseParser):
    """Turns the bytes of a connection into answers.

    The parser is the library's; its own response object keeps one message
    at a time and forgets it when the next begins.
    """

    def __init__(self):
        super().__init__()
        self.answers = collections.deque()
        self._field = ""
        self._value = ""
        self._in_value = False

    def pop(self):
        """Return the oldest answer and forget it."""
        return self.answers.popleft()

    def _on_message_begin(self):
        self.answers.append(Answer())

    def _on_status(self, text):
        """The phrase beside the status is of no use to anyone."""

    def _on_header_field(self, text):
        if self._in_value:
            self._flush()
        self._field += text

    def _on_header_value(self, text):
        self._in_value = True
        self._value += text

    def _flush(self):
        if self._field:
            self.answers[-1].headers.append((self._field, self._value))
        self._field = ""
        self._value = ""
        self._in_value = False

    def _on_headers_complete(self):
        self._flush()
        answer = self.answers[-1]
        answer.status = self.get_code()
        answer.head_done = True
        return False

    def _on_body(self, data):
        self.answers[-1].body += data

    def _on_message_complete(self):
        answer = self.answers[-1]
        if answer.status < 200:
            # An interim answer; the final one follows.
            self.answers.pop()
            return
        answer.complete = True
