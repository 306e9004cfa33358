"""One attempt at one backend server: the request out, its answer in.

What must be right here is whether a request *may have run*.  Before its
first byte is sent it has not, nor where the server says so itself.  After
anything else that goes wrong, it may have.
"""

import errno

import gevent

from . import answer_parser
from . import connections as connections_module

FAILURES = (OSError, gevent.Timeout, answer_parser.ParseError)
# Answers to earlier requests that a server may send late on one connection.
MOST_STALE = 4
# Real answers are below 1 MB.
MOST_BODY_BYTES = 64 * 1024 * 1024


class NotSent(Exception):
    """No connection came about; nothing was sent."""


class Broken(Exception):
    """The exchange broke off after the server may have begun.

    ``closed`` tells that the connection ended, as it does where the server
    ends.
    """

    def __init__(self, text, closed=False):
        super().__init__(text)
        self.closed = closed


class Silent(Exception):
    """No byte came for as long as was to be waited; nothing is lost."""


class Upstream:
    """One request on its way to one server, and its answer."""

    def __init__(self, connections, address, dialect, request_id):
        self._connections = connections
        self._address = address
        self._dialect = dialect
        self._request_id = request_id
        self._conn = None
        self._parser = answer_parser.AnswerParser()
        self._unsent = memoryview(b"")
        self.answer = None

    def connect(self):
        """Get a connection, or raise :class:`NotSent`."""
        try:
            self._conn = self._connections.open(self._address)
        except connections_module.FAILURES as exc:
            raise NotSent(f"{type(exc).__name__}: {exc}")

    def wait_at_most(self, seconds):
        """Raise :class:`Silent` after so long without a byte either way.

        Whatever raised it may then be called again.  ``None`` waits for as
        long as the caller does.
        """
        self._conn.sock.settimeout(seconds)

    def prepare(self, method, target, headers, body):
        """Put together what :meth:`send` sends."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._unsent = memoryview(head + body)

    def send(self):
        """Send what is left to be sent; the server may begin from here on."""
        try:
            while self._unsent:
                sent = self._conn.sock.send(self._unsent)
                self._unsent = self._unsent[sent:]
        except FAILURES as exc:
            _raise_if_silent("sending", exc)
            # The server may have answered before it had all, and closed.
            self._unsent = memoryview(b"")
            if not self._answered_early():
                raise _broken("sending", exc)

    def _answered_early(self):
        try:
            self._feed()
        except (Broken, Silent, *FAILURES):
            return False
        return bool(self._parser.answers)

    def head(self):
        """Wait for the head of the answer to this request; return it."""
        stale = 0
        while True:
            self._until(lambda answers: answers and answers[0].head_done)
            answer = self._parser.answers[0]
            named = self._dialect.request_id_of(answer)
            if not named or named == self._request_id:
                self.answer = answer
                return answer
            # It answers an earlier request, whose caller has its answer.
            stale += 1
            if stale > MOST_STALE:
                raise Broken("only answers to other requests came")
            self._until(lambda answers: answers[0].complete)
            self._parser.pop()

    def whole_body(self):
        """Return the whole body; raises :class:`Broken` where it is cut."""
        answer = self.answer
        while not answer.complete:
            if len(answer.body) > MOST_BODY_BYTES:
                raise Broken("the body is too long")
            self._feed()
        return answer.take()

    def more(self):
        """Return the next bytes of the body, ``b""`` at its proper end."""
        answer = self.answer
        while not answer.body:
            if answer.complete:
                return b""
            self._feed()
        return answer.take()

    def _until(self, holds):
        while not holds(self._parser.answers):
            self._feed()

    def _feed(self):
        """Read once; an end of the connection that cuts an answer raises."""
        data = None
        try:
            data = self._conn.sock.recv(connections_module.RECEIVE_BYTES)
            self._parser.feed(data)
        except FAILURES as exc:
            _raise_if_silent("reading", exc)
            if self.answer is not None and self.answer.complete:
                # What came after the answer is no answer to anything.
                self._conn.idle_until = 0.0
                return
            raise _broken("reading", exc, at_end=data == b"")
        if data:
            return
        first = self._parser.answers[0] if self._parser.answers else None
        if first is None or not first.complete:
            raise Broken("the server closed the connection", closed=True)

    def release(self):
        """End the exchange: keep the connection or close it.

        Closing it tells the server to stop where the answer was not whole.
        """
        conn, self._conn = self._conn, None
        if conn is None:
            return
        answer = self.answer
        parser = self._parser
        if (
            answer is not None
            and answer.complete
            and len(parser.answers) == 1
            and parser.should_keep_alive()
            and not parser.parser_failed()
        ):
            self._connections.keep(conn, answer)
        else:
            conn.close()


def _raise_if_silent(doing, exc):
    """Tell a wait that is over from a connection that the kernel gave up."""
    if isinstance(exc, TimeoutError) and exc.errno != errno.ETIMEDOUT:
        raise Silent(doing) from exc


def _broken(doing, exc, at_end=False):
    """Return how the exchange broke off, by a failure of the connection."""
    closed = at_end or isinstance(exc, ConnectionError)
    return Broken(f"{doing}: {type(exc).__name__}: {exc}", closed)
