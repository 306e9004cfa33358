"""Events in the lifecycle of one request."""

import msgspec

from ..coordination import claims
from ..decisions import peer_paths


class RequestReceived(msgspec.Struct):
    """A caller's request, read completely and well formed.

    ``timeout`` is in seconds from now, ``prompt_tokens`` is estimated from
    the length of the body.  Exactly one of ``model`` and ``service`` is not
    empty.
    """

    request_id: str
    key_hash: str
    class_name: str
    model: str = ""
    service: str = ""
    path: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_hash: str = ""
    timeout: float | None = None
    idempotency_key: str = ""
    body_digest: str = ""
    streamed: bool = False


class RoutedRequestReceived(msgspec.Struct):
    """A caller's request for a declared route, with its header validated.

    ``timeout`` is the caller's timeout in seconds from now, or ``None``.
    ``parts`` has the parts of the prompt as ``(name, tokens)``, shared parts
    first; it is empty if the request does not generate output.  ``draw`` is
    the random number in [0, 1) that selects a service of a weighted split.
    ``content`` is a hash of method, path and body, which is the same each
    time that the request is sent.  ``resumes`` is the id of the request whose
    stream the caller resumes, or ''; ``has_events`` is true if the caller
    says that it holds events.
    """

    request_id: str
    host: str
    path: str
    key_hash: str = ""
    timeout: float | None = None
    model: str = ""
    parts: tuple = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    draw: float = 0.0
    content: str = ""
    resumes: str = ""
    has_events: bool = False


class AttemptBegan(msgspec.Struct):
    """The first byte of attempt ``attempt`` is about to be sent."""

    request_id: str
    attempt: int


class NotBegun(msgspec.Struct):
    """Attempt ``attempt`` certainly did not start any work.

    ``server_said`` is true if the server itself answered ``not-run``, and
    false if no byte of the request left this instance.  ``gone`` is true if
    another server answered at its address.  ``retry_after`` is in seconds.
    ``path_failure`` tells why a tunnel through a peer was not opened.
    ``rests`` is true if the server asked for rest before anything was sent.
    """

    request_id: str
    attempt: int
    server_said: bool
    retry_after: float = 0.0
    detail: str = ""
    gone: bool = False
    path_failure: peer_paths.PathFailure | None = None
    rests: bool = False


class FirstOutput(msgspec.Struct):
    """The first output of an attempt was received.

    ``is_event`` is true if it is an event that the caller is about to get.
    """

    request_id: str
    attempt: int
    is_event: bool = False


class AttemptSilent(msgspec.Struct):
    """The attempt sent nothing within its silence timeout.

    The attempt continues; a hedged request to another server may be started.
    ``unstreamed`` is as in :class:`AttemptFailed`.
    """

    request_id: str
    attempt: int
    unstreamed: bool = False


class AttemptSpoke(msgspec.Struct):
    """This attempt was the first of a hedged pair to send anything.

    The pair is a silent attempt and its hedge; the other has been aborted.
    """

    request_id: str
    attempt: int


class AnswerReceived(msgspec.Struct):
    """How much of an answer an attempt received, and how the answer ended.

    ``end`` names what told that it is complete (RFC 9112, section 6.3), and
    is '' if it is not.  ``through`` is the peer whose tunnel carried it, ''
    for a direct path.  ``body_bytes`` counts the bytes of the body,
    ``whole_events`` the events in it, and ``last_id`` is the id of the last
    one, or of the one after which the attempt resumed the stream.
    """

    end: str = ""
    through: str = ""
    body_bytes: int = 0
    whole_events: int = 0
    last_id: str = ""


class AnswerFinished(msgspec.Struct):
    """The answer was received completely.

    ``gaps_ms`` has samples of the time between two outputs, in milliseconds.
    ``answer`` is the answer to store for retries, if the request has an
    idempotency key.  ``idle_seconds`` is for how long the connection to the
    server is kept for reuse from now on, 0 if it is not kept.  ``received``
    is for the log; it is ``None`` on the own interface.
    """

    request_id: str
    attempt: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    gaps_ms: list = msgspec.field(default_factory=list)
    answer: claims.StoredAnswer | None = None
    idle_seconds: float = 0.0
    received: AnswerReceived | None = None


class AttemptFailed(msgspec.Struct):
    """The attempt failed after the server may have started to run it.

    ``relayed`` is the number of events already sent to the caller.
    ``answered`` is the HTTP status of a complete error answer, which the
    caller gets if no other server can be tried, and 0 without one.
    ``closed`` is true if the connection was closed during the exchange,
    which is the only visible sign of a server process that ended.
    ``received`` is for the log, as in :class:`AnswerFinished`.
    ``unstreamed`` is true if an answer had begun that is no stream and no
    error of the server: it cannot be resumed.
    """

    request_id: str
    attempt: int
    relayed: int
    detail: str
    answered: int = 0
    closed: bool = False
    received: AnswerReceived | None = None
    unstreamed: bool = False


class CallerGone(msgspec.Struct):
    """The caller closed its connection before the answer was complete."""

    request_id: str


class Overdue(msgspec.Struct):
    """The caller's deadline passed while an attempt was in progress."""

    request_id: str


class CutShort(msgspec.Struct):
    """The instance shuts down before this request has finished."""

    request_id: str
