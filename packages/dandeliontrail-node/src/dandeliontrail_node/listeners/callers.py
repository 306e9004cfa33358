"""The listener for callers: OpenAI-compatible paths and other services."""

import hashlib
import typing
import uuid

import msgspec

from dandeliontrail import events

from .. import calls
from .. import relay
from .. import tokens
from .. import wsgi

GENERATION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
# The key of the request id in the WSGI environment.
REQUEST_ID_KEY = "dandeliontrail.request_id"
# English text has about four bytes per token.  The engine's own count
# replaces this estimate once the answer is complete.
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
PROMPT_PREFIX_BYTES = 1024


# The upper bound is far above any context window.
OutputTokens = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31)]


class Fields(msgspec.Struct):
    """The fields of a generation request that the router reads."""

    model: str
    stream: bool = False
    max_tokens: OutputTokens | None = None
    max_completion_tokens: OutputTokens | None = None


class ModelView(msgspec.Struct):
    """One model in the answer to ``GET /v1/models``."""

    id: str
    object: str = "model"


class ModelListing(msgspec.Struct):
    """The answer to ``GET /v1/models``."""

    data: list[ModelView]
    object: str = "list"


class CallersApp:
    """Serves the requests of callers."""

    def __init__(self, host, engines, limits, drain):
        self._host = host
        self._engines = engines
        self._limits = limits
        self._drain = drain

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return wsgi.reply_json(start_response, {"ok": True})
        if path == "/readyz":
            return self._reply_ready(start_response)
        if path == "/v1/models":
            return self._reply_models(start_response)
        return self._serve_request(environ, start_response, path)

    def _serve_request(self, environ, start_response, path):
        """Serve a request for a backend server, under a new request id."""
        environ[REQUEST_ID_KEY] = str(uuid.uuid4())
        try:
            if path in GENERATION_PATHS:
                return self._generate(environ, start_response, path)
            if path.startswith(SERVICES_PREFIX):
                return self._service(environ, start_response, path)
            raise wsgi.not_found(path)
        except wsgi.Problem as problem:
            if not problem.request_id:
                # Raised before the request reached the reducer, so nothing
                # ran.
                problem.request_id = environ[REQUEST_ID_KEY]
                problem.outcome = "not-run"
            raise

    def _reply_ready(self, start_response):
        if self._drain.draining:
            raise wsgi.Problem(
                503,
                "draining",
                "The instance is draining.",
                "use another instance",
            )
        if not self._host.state.log.ready:
            raise wsgi.Problem(
                503,
                "no_configuration",
                "It has not yet caught up with the configuration.",
                "use another instance; if this lasts, see the instance's log",
            )
        return wsgi.reply_json(start_response, {"ready": True})

    def _reply_models(self, start_response):
        now = self._host.clock.now()
        names = {
            name
            for server in self._host.state.registry.serving(now)
            for model in server.announcement.models
            for name in [model.name, *model.adapters]
        }
        listing = ModelListing([ModelView(name) for name in sorted(names)])
        return wsgi.reply_json(start_response, listing)

    def _read_body(self, environ):
        limits = self._limits
        return wsgi.read_body(environ, limits.body_bytes, limits.body_seconds)

    def _generate(self, environ, start_response, path):
        if environ["REQUEST_METHOD"] != "POST":
            raise wsgi.Problem(
                405, "method", "Only POST is served here.", "use POST"
            )
        body = self._read_body(environ)
        if not environ[wsgi.HOLDS].take_copy():
            # It is written anew for the engine.
            raise wsgi.no_room()
        fields, raw = _decode_generation(body)
        event = self._new_event(environ, body)
        event.model = fields.model
        event.path = path
        event.streamed = fields.stream
        event.prompt_tokens = len(body) // BYTES_PER_TOKEN
        event.prefix_hash = hashlib.sha256(
            body[:PROMPT_PREFIX_BYTES]
        ).hexdigest()
        event.max_output_tokens = (
            fields.max_completion_tokens
            or fields.max_tokens
            or DEFAULT_OUTPUT_TOKENS
        )
        call = calls.GenerationCall(path, raw, fields.stream)
        return self._relay(environ, event, call, start_response)

    def _service(self, environ, start_response, path):
        service, _, path_in_service = path[len(SERVICES_PREFIX) :].partition(
            "/"
        )
        body = self._read_body(environ)
        event = self._new_event(environ, body)
        event.service = service
        event.path = "/" + path_in_service
        query = environ.get("QUERY_STRING", "")
        target = event.path + (f"?{query}" if query else "")
        call = calls.ServiceCall(
            environ["REQUEST_METHOD"],
            target,
            environ.get("CONTENT_TYPE", ""),
            body,
        )
        return self._relay(environ, event, call, start_response)

    def _new_event(self, environ, body):
        key = tokens.bearer_token(environ)
        return events.RequestReceived(
            request_id=environ[REQUEST_ID_KEY],
            key_hash=tokens.hash_token(key) if key else "",
            class_name=environ.get("HTTP_X_REQUEST_CLASS", ""),
            timeout=_requested_timeout(environ),
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            body_digest=_request_digest(environ, body),
        )

    def _relay(self, environ, event, call, start_response):
        if self._drain.refuses_requests:
            raise wsgi.Problem(
                503,
                "draining",
                "This instance is shutting down.",
                "send it again; the load balancer chooses another instance",
                outcome="not-run",
                request_id=event.request_id,
                retry_after=1.0,
            )
        return relay.serve(
            self._host,
            self._engines,
            self._limits,
            event,
            call,
            environ,
            start_response,
        )


def _request_digest(environ, body):
    """Return a digest of the whole request.

    It distinguishes a resend from a different request with the same
    idempotency key.
    """
    parts = (
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
    )
    head = "\0".join(parts).encode()
    return hashlib.sha256(head + b"\0" + body).hexdigest()


def _decode_generation(body):
    remedy = "send a JSON object with the field named"
    fields = wsgi.decode(body, Fields, remedy)
    raw = wsgi.decode(body, dict[str, msgspec.Raw], remedy)
    return fields, raw


def _requested_timeout(environ):
    text = environ.get("HTTP_X_REQUEST_TIMEOUT", "")
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < 1e6:
        raise wsgi.Problem(
            400,
            "timeout",
            f"X-Request-Timeout is {text!r}.",
            "give a number of seconds above 0",
            outcome="not-run",
        )
    return seconds
