"""What one platform's callers and servers say about a request."""

import abc

import msgspec


class Incoming(msgspec.Struct):
    """A caller's request as it came in, its body still unread.

    ``headers`` are those to pass on, without the ones that concern only one
    connection or that the node sets itself.  ``key`` is the caller's key,
    ``timeout`` what it allows in seconds.  ``parts`` are those of the
    prompt.  ``last_event_id`` is where a resumed stream goes on.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: list
    key: str = ""
    timeout: float | None = None
    model: str = ""
    parts: tuple = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""


class Attempt(msgspec.Struct):
    """What the node says to a server beside the caller's own headers.

    ``remaining`` is what is left of the request's time, in seconds;
    ``last_event_id`` the last event that the caller has, or ''.
    """

    backend_server: str
    organisation: str
    priority: int
    remaining: float
    last_event_id: str = ""
    generates: bool = False


class Dialect(abc.ABC):
    """Reads and writes the headers of one platform."""

    @abc.abstractmethod
    def read(self, head):
        """Return the :class:`Incoming` of a ``http_server.Head``.

        Raises ``wsgi.Problem`` where the head cannot be understood.
        """

    @abc.abstractmethod
    def attempt_headers(self, attempt):
        """Return the headers by which a server learns of an attempt."""

    @abc.abstractmethod
    def not_executed(self, answer):
        """Tell whether a server says that it did not run the request."""

    @abc.abstractmethod
    def is_other_server(self, answer):
        """Tell whether another server than the one meant answered."""

    @abc.abstractmethod
    def request_id_of(self, answer):
        """Return the id of the request that an answer is for, or ''."""

    @abc.abstractmethod
    def problem_headers(self, request_id, problem):
        """Return the headers of a ``wsgi.Problem`` told by this node."""
