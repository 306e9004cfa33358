"""Events in the life of one request."""

import msgspec

from ..coordination import claims


class RequestReceived(msgspec.Struct):
    """A caller's request, read whole and well formed.

    ``timeout`` is in seconds from now, ``prompt_tokens`` an estimate made
    from the length of the body.  Exactly one of ``model`` and ``service``
    is not empty.
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
    """A caller's request for a declared route, its head read and checked.

    ``timeout`` is what the caller allows, in seconds from now, or ``None``.
    ``parts`` are those of the prompt, as ``(name, tokens)``, the shared ones
    first; it is empty where the request generates nothing.  ``content``
    stands for its method, path and body, the same each time it is sent.
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


class AttemptBegan(msgspec.Struct):
    """The first byte of attempt ``attempt`` is about to be sent."""

    request_id: str
    attempt: int


class NotBegun(msgspec.Struct):
    """It is certain that attempt ``attempt`` did not start any work.

    ``server_said`` is true where the server itself answered ``not-run``,
    false where no byte of the request left this instance; ``gone`` where
    another server answered at its address.
    """

    request_id: str
    attempt: int
    server_said: bool
    retry_after: float = 0.0
    detail: str = ""
    gone: bool = False


class FirstOutput(msgspec.Struct):
    """The first event of the answer came in."""

    request_id: str
    attempt: int


class AttemptSilent(msgspec.Struct):
    """Nothing came of the attempt for as long as its patience lasts.

    It is waited for on; another server may be asked beside it.
    """

    request_id: str
    attempt: int


class AttemptSpoke(msgspec.Struct):
    """Of a silent attempt and the one beside it, this one spoke first.

    The other one has been let go.
    """

    request_id: str
    attempt: int


class AnswerFinished(msgspec.Struct):
    """The answer came in whole.

    ``gaps_ms`` samples the time between two outputs; ``answer`` is what to
    hold for resends, where the request has an idempotency key.
    """

    request_id: str
    attempt: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    gaps_ms: list = msgspec.field(default_factory=list)
    answer: claims.StoredAnswer | None = None


class AttemptFailed(msgspec.Struct):
    """The attempt broke off after it may have begun.

    ``relayed`` counts the events that the caller already has.  ``answered``
    is the status of a whole answer that the server failed with, which the
    caller gets if no other server can be asked, and 0 without one.
    ``closed`` tells that the connection ended in the middle of the exchange,
    which is all that can be seen of a server that ends.
    """

    request_id: str
    attempt: int
    relayed: int
    detail: str
    answered: int = 0
    closed: bool = False


class CallerGone(msgspec.Struct):
    """The caller closed its connection before the answer was whole."""

    request_id: str


class Overdue(msgspec.Struct):
    """The caller's own deadline passed while an attempt was running."""

    request_id: str


class CutShort(msgspec.Struct):
    """The instance ends now, before this request has."""

    request_id: str
