"""Sends one request to one backend server and reads its answer.

The errors raised here must tell reliably whether the request *may have run*.
It has not run if no byte of it was sent, or if the server says that it did
not run it.  After any other failure it may have run.
"""

import time

from dandeliontrail import invariants
import gevent

from .. import http_library
from .. import server_socket
from . import answer_bounds
from . import answer_parser
from . import connections as connections_module
from . import tunnels

FAILURES = (OSError, gevent.Timeout, answer_parser.ParseError)
# Late answers to earlier requests that are skipped on one connection.
MAX_STALE_ANSWERS = 4
# A body up to this size is sent together with the head; a larger one is not
# copied.
MAX_JOINED_BYTES = 64 * 1024


class NotSent(Exception):
    """No connection could be opened; nothing was sent.

    ``path_failure`` tells why a tunnel through a peer was not opened, if that
    is the reason.
    """

    def __init__(self, text, path_failure=None):
        super().__init__(text)
        self.path_failure = path_failure


class Broken(Exception):
    """The exchange failed after the server may have begun the request.

    ``closed`` is true if the connection ended, as it does when the server's
    process ends.
    """

    def __init__(self, text, closed=False):
        super().__init__(text)
        self.closed = closed


class Silent(Exception):
    """The silence timeout passed without a byte; the call can be repeated."""


class BackendRequest:
    """One request to one server, and the answer to it.

    Answers are matched to requests by the id, which all attempts of a request
    share.  So ``used_connections``, a list that its attempts share as well,
    has the connections on which it was sent.
    """

    def __init__(
        self, connections, dispatch, dialect, request_id, used_connections
    ):
        self._connections = connections
        self._dispatch = dispatch
        self._dialect = dialect
        self._request_id = request_id
        self._used_connections = used_connections
        self._conn = None
        self._parser = answer_parser.AnswerParser()
        # What is sent one after the other: the head, and a large body.
        self._unsent = []
        self._began = False
        # Whether bytes came that are no answer, so that nothing more is read.
        self._has_stray_bytes = False
        self.answer = None

    def connect(self):
        """Open or reuse a connection; raises :class:`NotSent` on failure."""
        dispatch = self._dispatch
        try:
            if dispatch.peer:
                self._conn = self._connections.open_tunnel(dispatch)
            else:
                address = connections_module.address_of(dispatch.url)
                self._conn = self._connections.open(
                    address, self._used_connections
                )
        except tunnels.NotOpened as exc:
            raise NotSent(str(exc), exc.failure)
        except connections_module.FAILURES as exc:
            raise NotSent(f"{type(exc).__name__}: {exc}")

    @property
    def silent_seconds(self):
        """For how many seconds no byte has arrived."""
        return time.monotonic() - self._conn.heard_at

    def note_sent(self):
        """Count the silence from now on."""
        self._conn.heard_at = time.monotonic()

    def set_silence_timeout(self, seconds):
        """Set after how many seconds without a byte I/O raises ``Silent``.

        The timeout applies to both directions, and the method that raised
        :class:`Silent` may be called again.  ``None`` sets no timeout, so
        that only the caller's deadline bounds the wait.  A request whose
        connection was released has no further I/O.
        """
        if self._conn is not None:
            self._conn.sock.settimeout(seconds)

    def prepare(self, method, target, headers, body):
        """Build the bytes of the request for :meth:`send`."""
        self._parser = answer_parser.AnswerParser(method == "HEAD")
        lines = [f"{method} {target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        if len(body) <= MAX_JOINED_BYTES:
            self._unsent = [memoryview(head + body)]
        else:
            self._unsent = [memoryview(head), memoryview(body)]

    def send(self):
        """Send the unsent bytes; from then on the server may have begun."""
        if not self._began:
            invariants.check(
                self._conn not in self._used_connections,
                "a-connection-carries-a-request-once",
                self._request_id,
            )
            self._began = True
            self._used_connections.append(self._conn)
        try:
            while self._unsent:
                sent = self._conn.sock.send(self._unsent[0])
                self._unsent[0] = self._unsent[0][sent:]
                if not self._unsent[0]:
                    del self._unsent[0]
        except FAILURES as exc:
            _raise_if_silent("sending", exc)
            # The server may have answered early, before it had read the
            # whole request, and closed the connection.
            self._unsent = []
            if not self._answered_early():
                raise _broken("sending", exc)

    def _answered_early(self):
        try:
            self._receive()
        except (Broken, Silent, *FAILURES):
            return False
        return bool(self._parser.answers)

    def read_head(self):
        """Return the answer to this request once its head has come."""
        skipped = 0
        while True:
            self._read_until(lambda answers: answers and answers[0].head_done)
            answer = self._parser.answers[0]
            if self._is_own(answer):
                self.answer = answer
                return answer
            # A late answer to an earlier request on this connection, whose
            # caller has been answered already, or bytes of no request.
            skipped += 1
            if skipped > MAX_STALE_ANSWERS:
                raise Broken("all answers received were for other requests")
            self._skip_answer()

    def _is_own(self, answer):
        """Return whether an answer belongs to this request.

        On a connection that was used before, one that names no request may be
        bytes that followed an earlier answer.  A success is passed over then,
        as this request's own may follow; after any other it is not known what
        happened.  Servers may refuse without naming the request.
        """
        answered_id = self._dialect.request_id_of(answer)
        if answered_id:
            return answered_id == self._request_id
        if not self._conn.used or self._dialect.not_executed(answer):
            return True
        if answer.status in http_library.SUCCESS_STATUSES:
            return False
        raise Broken(f"an answer {answer.status} names no request")

    def read_whole_body(self, hold):
        """Return the whole body; raises :class:`Broken` if it is truncated.

        ``hold`` (:class:`..client_holds.AnswerHold`) takes room for what is
        read, first of all for what the answer announces.
        """
        answer = self.answer
        announced = answer.announced_bytes()
        with answer_bounds.BodyHold(
            self._connections.endless_bytes
        ) as endless:
            while not answer.complete:
                size = max(len(answer.body), announced)
                _check_size(endless, size, announced)
                hold.wait_for_room(size)
                self._receive()
        hold.wait_for_room(len(answer.body))
        return answer.take()

    def discard_body(self):
        """Read the body to its end and drop it; raises :class:`Broken`."""
        self._discard(self.answer)

    def read_body_part(self):
        """Return the next bytes of the body, ``b""`` once it is complete."""
        answer = self.answer
        while not answer.body:
            if answer.complete:
                return b""
            self._receive()
        return answer.take()

    def _skip_answer(self):
        """Read an answer to an earlier request to its end, and drop it."""
        self._discard(self._parser.answers[0])
        self._parser.pop()

    def _discard(self, answer):
        skipped = 0
        while not answer.complete:
            skipped += len(answer.take())
            if skipped > answer_bounds.MAX_STALE_BYTES:
                raise Broken("an answer of no use is too long")
            self._receive()

    def _read_until(self, condition):
        while not condition(self._parser.answers):
            self._receive()

    def _receive(self):
        """Receive and parse once; raises if the answer is truncated."""
        if self._has_stray_bytes:
            raise Broken("what came after another answer was none")
        data = None
        try:
            data = self._conn.sock.recv(connections_module.RECEIVE_BYTES)
            if data:
                self._parser.feed(data)
            else:
                self._parser.end_connection()
        except (*FAILURES, answer_bounds.TooLarge) as exc:
            _raise_if_silent("reading", exc)
            answers = self._parser.answers
            if answers and answers[0].complete:
                # Bytes after the complete answer: ignore them, and do not
                # reuse the connection.
                self._has_stray_bytes = True
                return
            raise _broken("reading", exc, at_end=data == b"")
        if data:
            self._connections.note_heard(self._conn)
            return
        first = self._parser.answers[0] if self._parser.answers else None
        if first is None or not first.complete:
            raise Broken(
                "the server closed the connection before the answer"
                " was complete",
                closed=True,
            )

    def release(self):
        """Return the connection to the pool, or close or reset it.

        It is kept if the answer is complete and the connection can be reused,
        or if nothing was sent on it.  Returns for how many seconds it is kept
        after an answer, 0 if it is not.
        Resetting it before the answer is complete tells the server to stop,
        and drops what has not been sent.  Work that may not be repeated is
        better completed: its connection is closed.
        """
        conn, self._conn = self._conn, None
        self._unsent = []
        if conn is None:
            return 0.0
        if not self._began:
            self._connections.keep_unused(conn)
            return 0.0
        answer = self.answer
        parser = self._parser
        if (
            answer is not None
            and answer.complete
            and len(parser.answers) == 1
            and parser.should_keep_alive()
            and not self._has_stray_bytes
            and not parser.parser_failed()
        ):
            return self._connections.keep(conn, answer)
        if not self._dispatch.repeatable:
            conn.close()
        elif answer is not None and answer.complete:
            conn.close()
        else:
            conn.reset()
        return 0.0


def _raise_if_silent(operation, exc):
    """Raise ``Silent`` for a timeout of the socket.

    ``ETIMEDOUT`` is not one: with it the kernel reports that the connection
    is dead.
    """
    if isinstance(exc, TimeoutError) and not server_socket.is_failure(exc):
        raise Silent(operation) from exc


def _broken(operation, exc, at_end=False):
    """Return a :class:`Broken` that describes a connection failure."""
    closed = at_end or isinstance(exc, ConnectionError)
    return Broken(f"{operation}: {type(exc).__name__}: {exc}", closed)


def _check_size(endless, size, announced):
    """Raise ``Broken`` if a body is, or is to be, beyond its bound."""
    try:
        if size > answer_bounds.MAX_BODY_BYTES:
            raise answer_bounds.TooLarge("the body of the answer is too long")
        if not announced:
            endless.resize(size)
    except answer_bounds.TooLarge as exc:
        raise Broken(str(exc)) from exc
