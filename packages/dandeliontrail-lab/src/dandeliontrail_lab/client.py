"""A caller that sends one request and checks that the answer is complete."""

import time

import geventhttpclient
import msgspec

NETWORK_TIMEOUT_SECONDS = 120.0
DONE_EVENT = b"data: [DONE]"
CONNECTION_ERRORS = (
    OSError,
    geventhttpclient.response.HTTPParseError,
    msgspec.DecodeError,
)


class Ask(msgspec.Struct):
    """A generation request, and the instance to send it to.

    ``address`` is ``IP:port``; ``timeout`` is in seconds, 0 for none.
    """

    address: str
    key: str
    class_name: str
    prompt: str
    model: str = "small"
    stream: bool = True
    max_tokens: int = 16
    idempotency_key: str = ""
    timeout: float = 0.0


class Answer(msgspec.Struct):
    """The response to a request.

    ``first_s`` is the time to the first event and ``total_s`` the total
    time, both in seconds.  ``complete`` is set only if the response itself
    proves that it is complete.  ``versions`` are the software versions that
    wrote its events.
    """

    status: int
    text: str = ""
    tokens: int = 0
    complete: bool = False
    outcome: str = ""
    error: str = ""
    backend_server: str = ""
    request_id: str = ""
    retry_after: float = 0.0
    first_s: float = 0.0
    total_s: float = 0.0
    versions: set = msgspec.field(default_factory=set)


class Delta(msgspec.Struct):
    """The text of a message, or the text that one event adds to it."""

    content: str = ""


class Choice(msgspec.Struct):
    """One choice in an event or in a complete answer."""

    delta: Delta = msgspec.field(default_factory=Delta)
    message: Delta = msgspec.field(default_factory=Delta)


class ErrorDetails(msgspec.Struct):
    """The error object of a response."""

    code: str = ""
    outcome: str = ""


class Body(msgspec.Struct):
    """The body of a stream event, a complete answer or an error."""

    choices: list[Choice] = []
    error: ErrorDetails | None = None
    system_fingerprint: str = ""


def send(ask):
    """Send one request and return the answer.

    A connection error or an invalid response is returned as an answer with
    status 0.
    """
    host, port = ask.address.rsplit(":", 1)
    client = geventhttpclient.HTTPClient(
        host, int(port), network_timeout=NETWORK_TIMEOUT_SECONDS
    )
    started = time.monotonic()
    try:
        response = client.post(
            "/v1/chat/completions", body_of(ask), headers_of(ask)
        )
        answer = _read_answer(response, ask.stream, started)
    except CONNECTION_ERRORS as exc:
        answer = Answer(0, error=f"{type(exc).__name__}: {exc}")
    finally:
        client.close()
    answer.total_s = time.monotonic() - started
    return answer


def body_of(ask):
    """Return the HTTP body of a request."""
    return msgspec.json.encode(
        {
            "model": ask.model,
            "stream": ask.stream,
            "max_tokens": ask.max_tokens,
            "messages": [{"role": "user", "content": ask.prompt}],
        }
    )


def headers_of(ask):
    """Return the HTTP headers of a request."""
    headers = {
        "Authorization": f"Bearer {ask.key}",
        "X-Request-Class": ask.class_name,
        "Content-Type": "application/json",
    }
    if ask.idempotency_key:
        headers["Idempotency-Key"] = ask.idempotency_key
    if ask.timeout:
        headers["X-Request-Timeout"] = str(ask.timeout)
    return headers


def _read_answer(response, streamed, started):
    answer = Answer(
        response.status_code,
        outcome=response.get("X-Outcome") or "",
        backend_server=response.get("X-Backend-Server") or "",
        request_id=response.get("X-Request-Id") or "",
        retry_after=float(response.get("Retry-After") or 0.0),
    )
    if streamed and response.status_code == 200:
        _read_stream(response, answer, started)
        return answer
    body = msgspec.json.decode(response.read(), type=Body)
    answer.first_s = time.monotonic() - started
    if body.error:
        answer.error = body.error.code
        answer.outcome = body.error.outcome
        return answer
    answer.text = body.choices[0].message.content
    answer.tokens = len(answer.text.split())
    answer.complete = True
    return answer


def _read_stream(response, answer, started):
    parts = []
    while True:
        line = response.readline(b"\n\n")
        if not answer.first_s:
            answer.first_s = time.monotonic() - started
        if not line:
            break
        if line.startswith(DONE_EVENT):
            answer.complete = True
            break
        body = msgspec.json.decode(line[len(b"data:") :], type=Body)
        if body.error:
            answer.error = body.error.code
            answer.outcome = body.error.outcome
            break
        if body.choices:
            parts.append(body.choices[0].delta.content)
            answer.versions.add(body.system_fingerprint)
    answer.text = "".join(parts)
    answer.tokens = len(parts)
