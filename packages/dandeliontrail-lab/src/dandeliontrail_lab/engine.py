"""A simulated model engine that serves the engines' HTTP interface."""

import hashlib
import random
import re
import socket
import time

import gevent
from gevent import pool
from gevent import pywsgi
import geventhttpclient
import msgspec

from . import batch
from . import faults
from . import loading

ANNOUNCE_INTERVAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 1.0
JSON_HEADER = ("Content-Type", "application/json")
LIMIT_HEADER = "X-Max-Request-Rate"
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16
EVENT_STREAM_HEADER = ("Content-Type", "text/event-stream")
# A stream whose connection closed is cancelled unless it is resumed within
# this time.
RESUME_WINDOW_SECONDS = 0.5


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class GenerationRequest(msgspec.Struct):
    """The fields of a generation request that the simulated engine reads."""

    model: str
    stream: bool = False
    priority: int = 1
    max_tokens: int = DEFAULT_MAX_TOKENS
    messages: list[Message] = []
    continue_final_message: bool = False


class NoDelayServer(pywsgi.WSGIServer):
    """A WSGI server that sends each event immediately, as engines do.

    Without ``TCP_NODELAY`` the first event of a response is delayed until
    the client acknowledges the response headers.  On a kept-alive connection
    that takes 40 ms, which would be added to every measured time to first
    token.
    """

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return super().handle(sock, address)


class Engine:
    """A simulated engine: batches, prioritises, cancels, resumes streams."""

    def __init__(self, name, failure_domain, models, slots, pace, desk=None):
        self.name = name
        self.failure_domain = failure_domain
        self.desk = desk or loading.OrderDesk(models)
        self.batch = batch.Batch(slots, pace)
        self.leaving = False
        self.epoch = 1
        # It names this in its events and does not continue what another
        # version began.
        self.software_version = ""
        self.ran = []
        # Whether repeated runs of a request produce different texts.
        self.sampled = False
        self.resumes = True
        self.faults = None
        # The requests per second that it names in its answers, ``None`` for
        # none, and when requests to generate or to resume arrived.
        self.max_request_rate = None
        self.arrivals = []
        # The URL to announce if a proxy stands in front of the engine.
        self.announced_url = ""
        self._server = None
        self._batch_greenlet = None

    @property
    def url(self):
        """The URL of the engine itself."""
        return f"http://127.0.0.1:{self._server.server_port}"

    def start(self, port=0):
        """Start the HTTP server and the batch loop."""
        self._server = NoDelayServer(
            ("127.0.0.1", port),
            self,
            spawn=pool.Pool(),
            log=None,
            error_log=None,
        )
        self._server.start()
        self._batch_greenlet = gevent.spawn(self.batch.run)

    def stop(self):
        """Stop immediately, as a crash would."""
        self._batch_greenlet.kill()
        self._server.stop(0)

    def __call__(self, environ, start_response):
        """Handle one HTTP request."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        start_response = self._naming_limit(start_response)
        if path in ("/health", "/load"):
            return _json_response(
                start_response, "200 OK", self._load_report()
            )
        if path == "/v1/orders":
            status, answer = self.desk.take(environ["wsgi.input"].read())
            return _json_response(start_response, status, answer)
        match = re.fullmatch(r"/v1/streams/([^/]+)", path)
        if match and method == "DELETE":
            was_known = self.batch.cancel(match[1])
            status = "200 OK" if was_known else "404 Not Found"
            return _json_response(start_response, status, {})
        if match:
            self.arrivals.append(time.monotonic())
            return self._resume(environ, start_response, match[1])
        if path in ("/v1/chat/completions", "/v1/completions"):
            return self._generate(environ, start_response)
        return _json_response(start_response, "404 Not Found", {})

    def _naming_limit(self, start_response):
        """Return ``start_response`` that adds the engine's limit."""
        if self.max_request_rate is None:
            return start_response
        limit = (LIMIT_HEADER, f"{self.max_request_rate:g}")

        def start(status, headers):
            return start_response(status, [*headers, limit])

        return start

    def _load_report(self):
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "kv_used": 0,
            "measured_ms_ago": 0.0,
        }

    def _generate(self, environ, start_response):
        self.arrivals.append(time.monotonic())
        body = environ["wsgi.input"].read()
        ask = msgspec.json.decode(body, type=GenerationRequest)
        request_id = environ.get("HTTP_X_REQUEST_ID") or str(random.random())
        prompt_tokens = len(body) // BYTES_PER_TOKEN
        stream = batch.Stream(
            request_id, ask.priority, prompt_tokens, ask.max_tokens
        )
        if self.sampled:
            stream.token_prefix = f"{self.name}-{len(self.ran)}-"
        if ask.continue_final_message:
            stream.start = len(ask.messages[-1].content.split())
        began_at = environ.get("HTTP_X_SOFTWARE_VERSION")
        if began_at is not None and began_at != self.software_version:
            return _refusal_response(start_response)
        fault = self.faults.draw() if self.faults else faults.Fault.NONE
        if fault is faults.Fault.REFUSE:
            return _refusal_response(start_response)
        if fault is faults.Fault.CLOSE:
            raise faults.connection_reset()
        self.begin(stream, ask)
        if fault is faults.Fault.ERROR:
            return _json_response(
                start_response, "500 Internal Server Error", {}
            )
        return self._answer(start_response, stream, ask, fault)

    def begin(self, stream, ask):
        """Queue a request for execution."""
        self.ran.append(stream.request_id)
        self.batch.submit(stream)

    def _answer(self, start_response, stream, ask, fault):
        breaks_connection = fault in (faults.Fault.BREAK, faults.Fault.CRASH)
        if ask.stream:
            events = self._start_stream(start_response, stream, 0)
            return (
                self._events_until_break(events, stream, fault)
                if breaks_connection
                else events
            )
        text = "".join(stream.read())
        if breaks_connection:
            self._break_connection(stream, fault)
        if not stream.finished:
            return _json_response(
                start_response, "500 Internal Server Error", {}
            )
        return _json_response(
            start_response, "200 OK", _completion_body(stream, ask, text)
        )

    def _events_until_break(self, events, stream, fault):
        """Yield events up to a random position, then break the connection."""
        position = self.faults.position(stream.requested_tokens)
        for event in events:
            if not position:
                events.close()
                self._break_connection(stream, fault)
            position -= 1
            yield event

    def _break_connection(self, stream, fault):
        if fault is faults.Fault.CRASH:
            stream.cancel()
            self.batch.streams.pop(stream.request_id, None)
        raise faults.connection_reset()

    def _resume(self, environ, start_response, request_id):
        stream = self.batch.streams.get(request_id)
        if stream is None or not self.resumes:
            return _json_response(start_response, "404 Not Found", {})
        match = re.search(r"from=(\d+)", environ.get("QUERY_STRING", ""))
        start = int(match[1]) if match else 0
        return self._start_stream(start_response, stream, start)

    def _start_stream(self, start_response, stream, start):
        write = start_response("200 OK", [EVENT_STREAM_HEADER])
        # An empty write sends the headers immediately, as engines do.
        write(b"")
        return self._event_bytes(stream, start)

    def _event_bytes(self, stream, start):
        try:
            for token in stream.read(start):
                chunk = {
                    "choices": [{"delta": {"content": token}}],
                    "system_fingerprint": self.software_version,
                }
                yield b"data: " + msgspec.json.encode(chunk) + b"\n\n"
            if stream.finished:
                yield b"data: [DONE]\n\n"
        finally:
            if not stream.finished:
                gevent.spawn_later(
                    RESUME_WINDOW_SECONDS, _cancel_unless_resumed, stream
                )

    def announcement(self, sequence):
        """Return the engine's announcement with this sequence number."""
        return {
            "backend_server": self.name,
            "epoch": self.epoch,
            "sequence": sequence,
            "kind": "model_engine",
            "url": self.announced_url or self.url,
            "failure_domain": self.failure_domain,
            "models": self.desk.models,
            "role": self.desk.role,
            "checks_fencing": self.desk.checks_fencing,
            "slots": self.batch.slots,
            "kv_tokens": 100_000,
            "load": self._load_report(),
            "leaving": self.leaving,
            "lease": 3,
            "software_version": self.software_version,
        }

    def announce(self, addresses, token=""):
        """Announce forever, to each address in turn."""
        sequence = 0
        headers = {"Content-Type": "application/json"}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        while True:
            address = addresses[sequence % len(addresses)]
            sequence += 1
            body = msgspec.json.encode(self.announcement(sequence))
            post_announcement(address, body, headers)
            gevent.sleep(ANNOUNCE_INTERVAL_SECONDS)


def _refusal_response(start_response):
    body = b"{}"
    headers = [
        JSON_HEADER,
        ("X-Outcome", "not-run"),
        ("Content-Length", str(len(body))),
    ]
    start_response("503 Service Unavailable", headers)
    return [body]


def _cancel_unless_resumed(stream):
    """Cancel a stream unless a client has resumed reading it."""
    if not stream.has_readers():
        stream.cancel()


def post_announcement(address, body, headers):
    """Send one announcement and ignore errors, since another one follows."""
    host, port = address.rsplit(":", 1)
    client = geventhttpclient.HTTPClient(
        host, int(port), network_timeout=ANNOUNCE_TIMEOUT_SECONDS
    )
    try:
        client.post("/v1/announcements", body, headers).read()
    except (OSError, geventhttpclient.response.HTTPParseError):
        return
    finally:
        client.close()


def _completion_body(stream, ask, text):
    return {
        "id": stream.request_id,
        "object": "chat.completion",
        "model": ask.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": stream.prompt_tokens,
            "completion_tokens": len(stream.tokens),
        },
    }


def _json_response(start_response, status, value):
    body = msgspec.json.encode(value)
    start_response(status, [JSON_HEADER, ("Content-Length", str(len(body)))])
    return [body]


def key_hash(key):
    """Return the hash of an API key as organisations list it."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
