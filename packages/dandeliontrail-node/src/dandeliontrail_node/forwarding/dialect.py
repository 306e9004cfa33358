"""The interface to the request headers that one platform uses."""

import abc

import msgspec


class IncomingRequest(msgspec.Struct):
    """The head of a caller's request; its body has not been read.

    ``headers`` are those to forward, without hop-by-hop headers and those
    that the instance sets itself.  ``key`` is the caller's API key and
    ``timeout`` the time that the caller allows, in seconds.  ``parts`` are
    the parts of the prompt.  ``last_event_id`` is the id of the event after
    which a resumed stream continues, or ''.  ``resumes`` is the id of the
    request that brought the first event of that stream, or ''.
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
    resumes: str = ""


class AttemptInfo(msgspec.Struct):
    """What is sent to a server with an attempt, besides caller headers.

    ``remaining`` is the time until the request's deadline, in seconds.
    ``last_event_id`` is the id of the last event that the caller has, or ''.
    ``generates`` is true if the request has a prompt.
    """

    backend_server: str
    organisation: str
    priority: int
    remaining: float
    last_event_id: str = ""
    generates: bool = False


class Dialect(abc.ABC):
    """Reads and writes the request headers of one platform."""

    @abc.abstractmethod
    def read(self, head):
        """Return the :class:`IncomingRequest` of a ``http_server.Head``.

        Raises ``wsgi.Problem`` if the head is malformed.
        """

    @abc.abstractmethod
    def attempt_headers(self, attempt):
        """Return the headers that describe an :class:`AttemptInfo`."""

    @abc.abstractmethod
    def not_executed(self, answer):
        """Return whether a server answers that it did not run the request."""

    @abc.abstractmethod
    def is_other_server(self, answer):
        """Return whether another server than the intended one answered."""

    def is_confirmed(self, answer):
        """Return whether a success has what servers confirm theirs with.

        Without it an answer is none, whatever its status says.
        """
        return True

    def limits_of(self, answer):
        """Return the values that name the server's limit, if there are any.

        A limit is in requests per second, from all instances together.
        """
        return []

    def brittle_of(self, answer):
        """Return the values that say how much a server may turn away.

        In requests per second; with more it falls over.
        """
        return []

    def rest_of(self, answer):
        """Return the values that ask for rest, in seconds, without work."""
        return []

    def leaving_of(self, answer):
        """Return the values that say whether the server leaves."""
        return []

    @abc.abstractmethod
    def request_id_of(self, answer):
        """Return the id of the request that an answer belongs to, or ''."""

    @abc.abstractmethod
    def problem_headers(self, request_id, problem):
        """Return the headers of a ``wsgi.Problem`` that this node returns."""
