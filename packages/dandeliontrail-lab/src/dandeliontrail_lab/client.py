"""A caller: sends one request and checks that the answer is whole."""

import time

import geventhttpclient
import msgspec

NETWORK_SECONDS = 120.0
DONE = b"data: [DONE]"
FAILURES = (
    OSError,
    geventhttpclient.response.HTTPParseError,
    msgspec.DecodeError,
)


class Ask(msgspec.Struct):
    """What to send, and to which instance (``IP:port``)."""

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
    """What came back; ``first_s`` and ``total_s`` in seconds.

    ``complete`` is what a careful caller concludes from the bytes alone.
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


class Delta(msgspec.Struct):
    """The new text of one event."""

    content: str = ""


class Choice(msgspec.Struct):
    """One alternative of an event or of a whole answer."""

    delta: Delta = msgspec.field(default_factory=Delta)
    message: Delta = msgspec.field(default_factory=Delta)


class ErrorView(msgspec.Struct):
    """The error of an answer."""

    code: str = ""
    outcome: str = ""


class Body(msgspec.Struct):
    """An event of a stream, or a whole answer, or an error."""

    choices: list[Choice] = []
    error: ErrorView | None = None


def send(ask):
    """Send one request and return the answer as its caller sees it."""
    host, port = ask.address.rsplit(":", 1)
    client = geventhttpclient.HTTPClient(
        host, int(port), network_timeout=NETWORK_SECONDS
    )
    started = time.monotonic()
    try:
        response = client.post(
            "/v1/chat/completions", body_of(ask), headers_of(ask)
        )
        answer = _read(response, ask.stream, started)
    except FAILURES as exc:
        answer = Answer(0, error=f"{type(exc).__name__}: {exc}")
    finally:
        client.close()
    answer.total_s = time.monotonic() - started
    return answer


def body_of(ask):
    """Return the body of a request."""
    return msgspec.json.encode(
        {
            "model": ask.model,
            "stream": ask.stream,
            "max_tokens": ask.max_tokens,
            "messages": [{"role": "user", "content": ask.prompt}],
        }
    )


def headers_of(ask):
    """Return the headers of a request."""
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


def _read(response, streamed, started):
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
        if line.startswith(DONE):
            answer.complete = True
            break
        body = msgspec.json.decode(line[len(b"data:") :], type=Body)
        if body.error:
            answer.error = body.error.code
            answer.outcome = body.error.outcome
            break
        if body.choices:
            parts.append(body.choices[0].delta.content)
    answer.text = "".join(parts)
    answer.tokens = len(parts)
