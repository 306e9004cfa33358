"""A stand-in model engine, over HTTP, as the contract has engines."""

import hashlib
import random
import re
import socket

import gevent
from gevent import pool
from gevent import pywsgi
import geventhttpclient
import msgspec

from . import batch
from . import faults
from . import loading

ANNOUNCE_SECONDS = 1.0
ANNOUNCE_TIMEOUT = 1.0
JSON = ("Content-Type", "application/json")
BYTES_PER_TOKEN = 4
DEFAULT_TOKENS = 16
EVENT_STREAM = ("Content-Type", "text/event-stream")
# A closed connection cancels, unless the stream is resumed by then.
ORPHAN_SECONDS = 0.5


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class Ask(msgspec.Struct):
    """The fields of a generation request that the stand-in reads."""

    model: str
    stream: bool = False
    priority: int = 1
    max_tokens: int = DEFAULT_TOKENS
    messages: list[Message] = []
    continue_final_message: bool = False


class PromptServer(pywsgi.WSGIServer):
    """Sends each event when it is there, as engines do.

    Without ``TCP_NODELAY`` the first event of an answer waits until its
    head is acknowledged, 40 ms later on a kept connection, and every
    measured first token is late by that.
    """

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return super().handle(sock, address)


class Engine:
    """Batches, streams, honours priority, cancels and resumes."""

    def __init__(self, name, failure_domain, models, slots, pace, desk=None):
        self.name = name
        self.failure_domain = failure_domain
        self.desk = desk or loading.OrderDesk(models)
        self.batch = batch.Batch(slots, pace)
        self.leaving = False
        self.epoch = 1
        self.ran = []
        # Whether two runs of a request give different texts.
        self.sampled = False
        self.resumes = True
        self.faults = None
        # What it announces as its URL, where something stands before it.
        self.announced_url = ""
        self._server = None
        self._stepper = None

    @property
    def url(self):
        """Where it is reached."""
        return f"http://127.0.0.1:{self._server.server_port}"

    def start(self, port=0):
        """Listen and start to step."""
        self._server = PromptServer(
            ("127.0.0.1", port),
            self,
            spawn=pool.Pool(),
            log=None,
            error_log=None,
        )
        self._server.start()
        self._stepper = gevent.spawn(self.batch.run)

    def stop(self):
        """Stop at once, as a crash would."""
        self._stepper.kill()
        self._server.stop(0)

    def __call__(self, environ, start_response):
        """Serve one request."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path in ("/health", "/load"):
            return _json(start_response, "200 OK", self._load())
        if path == "/v1/orders":
            status, answer = self.desk.take(environ["wsgi.input"].read())
            return _json(start_response, status, answer)
        found = re.fullmatch(r"/v1/streams/([^/]+)", path)
        if found and method == "DELETE":
            known = self.batch.cancel(found[1])
            status = "200 OK" if known else "404 Not Found"
            return _json(start_response, status, {})
        if found:
            return self._resume(environ, start_response, found[1])
        if path in ("/v1/chat/completions", "/v1/completions"):
            return self._generate(environ, start_response)
        return _json(start_response, "404 Not Found", {})

    def _load(self):
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "kv_used": 0,
            "measured_ms_ago": 0.0,
        }

    def _generate(self, environ, start_response):
        body = environ["wsgi.input"].read()
        ask = msgspec.json.decode(body, type=Ask)
        request_id = environ.get("HTTP_X_REQUEST_ID") or str(random.random())
        prompt_tokens = len(body) // BYTES_PER_TOKEN
        stream = batch.Stream(
            request_id, ask.priority, prompt_tokens, ask.max_tokens
        )
        if self.sampled:
            stream.mark = f"{self.name}-{len(self.ran)}-"
        if ask.continue_final_message:
            stream.start = len(ask.messages[-1].content.split())
        fault = self.faults.draw() if self.faults else faults.Fault.NONE
        if fault is faults.Fault.REFUSE:
            return _refuse(start_response)
        if fault is faults.Fault.CLOSE:
            raise faults.reset()
        self.begin(stream, ask)
        if fault is faults.Fault.ERROR:
            return _json(start_response, "500 Internal Server Error", {})
        return self._answer(start_response, stream, ask, fault)

    def begin(self, stream, ask):
        """Start to run a request."""
        self.ran.append(stream.request_id)
        self.batch.submit(stream)

    def _answer(self, start_response, stream, ask, fault):
        breaks = fault in (faults.Fault.BREAK, faults.Fault.CRASH)
        if ask.stream:
            events = self._events(start_response, stream, 0)
            return self._broken(events, stream, fault) if breaks else events
        text = "".join(stream.read())
        if breaks:
            self._break(stream, fault)
        if not stream.finished:
            return _json(start_response, "500 Internal Server Error", {})
        return _json(start_response, "200 OK", _whole(stream, ask, text))

    def _broken(self, events, stream, fault):
        """Pass events on until the connection breaks."""
        position = self.faults.position(stream.wanted)
        for event in events:
            if not position:
                events.close()
                self._break(stream, fault)
            position -= 1
            yield event

    def _break(self, stream, fault):
        if fault is faults.Fault.CRASH:
            stream.cancel()
            self.batch.streams.pop(stream.request_id, None)
        raise faults.reset()

    def _resume(self, environ, start_response, request_id):
        stream = self.batch.streams.get(request_id)
        if stream is None or not self.resumes:
            return _json(start_response, "404 Not Found", {})
        found = re.search(r"from=(\d+)", environ.get("QUERY_STRING", ""))
        start = int(found[1]) if found else 0
        return self._events(start_response, stream, start)

    def _events(self, start_response, stream, start):
        write = start_response("200 OK", [EVENT_STREAM])
        # The headers go out at once, as engines send them.
        write(b"")
        return self._event_bytes(stream, start)

    def _event_bytes(self, stream, start):
        try:
            for token in stream.read(start):
                chunk = {"choices": [{"delta": {"content": token}}]}
                yield b"data: " + msgspec.json.encode(chunk) + b"\n\n"
            if stream.finished:
                yield b"data: [DONE]\n\n"
        finally:
            if not stream.finished:
                gevent.spawn_later(ORPHAN_SECONDS, _cancel_orphan, stream)

    def announcement(self, sequence):
        """Return what the engine says of itself."""
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
            "load": self._load(),
            "leaving": self.leaving,
            "lease": 3,
        }

    def announce(self, addresses, token=""):
        """Announce for ever, to one address after the other."""
        sequence = 0
        headers = {"Content-Type": "application/json"}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        while True:
            address = addresses[sequence % len(addresses)]
            sequence += 1
            body = msgspec.json.encode(self.announcement(sequence))
            post_announcement(address, body, headers)
            gevent.sleep(ANNOUNCE_SECONDS)


def _refuse(start_response):
    body = b"{}"
    headers = [
        JSON,
        ("X-Outcome", "not-run"),
        ("Content-Length", str(len(body))),
    ]
    start_response("503 Service Unavailable", headers)
    return [body]


def _cancel_orphan(stream):
    """Stop a stream whose reader left, unless another one came."""
    if not stream.watched():
        stream.cancel()


def post_announcement(address, body, headers):
    """Send one announcement; best effort, since the next one follows."""
    host, port = address.rsplit(":", 1)
    client = geventhttpclient.HTTPClient(
        host, int(port), network_timeout=ANNOUNCE_TIMEOUT
    )
    try:
        client.post("/v1/announcements", body, headers).read()
    except (OSError, geventhttpclient.response.HTTPParseError):
        return
    finally:
        client.close()


def _whole(stream, ask, text):
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


def _json(start_response, status, value):
    body = msgspec.json.encode(value)
    start_response(status, [JSON, ("Content-Length", str(len(body)))])
    return [body]


def key_hash(key):
    """Return a caller's key in the form that organisations list."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
