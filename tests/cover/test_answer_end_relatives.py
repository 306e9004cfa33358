"""Answers that are cut, or framed in unusual ways, are never wrongly whole."""

import contextlib
import socket

from dandeliontrail_node.forwarding import events_splitter
from dandeliontrail_node.forwarding import forwarder
import gevent
import pytest

from tests.common import platform_world
from tests.cover import test_answer_ends as ends
from tests.soak import proxy

BODY = b"0123456789"
ORDER = "/order/x"
CHUNKED = "Transfer-Encoding: chunked"
TRAILER = b"0\r\nX-Late: yes\r\n\r\n"
CHUNK = platform_world.chunk(BODY)


def length(count):
    return f"Content-Length: {count}"


class Script:
    """Sends one answer, whose parts a test sets, and ends."""

    def __init__(self):
        self.lines = ()
        self.body = b""
        self.before = b""
        self.cut_at = None
        self.status = "200 OK"

    def __call__(self, server, sock, head):
        start = ends.answer_head(head, *self.lines)
        start = start.replace(b"200 OK", self.status.encode(), 1)
        data = self.before + start + self.body
        sock.sendall(data[: self.cut_at])
        return "close"


@pytest.fixture(params=["direct", "in a tunnel"])
def site(request):
    with contextlib.ExitStack() as stack:
        made = ends.Site(stack, request.param == "in a tunnel")
        made.script = Script()
        made.script.lines = (length(len(BODY)),)
        made.script.body = BODY
        made.server = made.add(made.platform.server(made.script))
        yield made


def test_an_answer_that_is_cut_in_its_head_is_not_whole(site):
    for framing in ((), (length(len(BODY)),), (CHUNKED,)):
        site.script.lines = framing
        size = len(ends.answer_head("POST /order/x", *framing))
        for cut_at in (0, 1, 5, 9, 12, 15, 17, 30, size - 4, size - 1):
            site.script.cut_at = cut_at
            for path in (ORDER, "/report/x"):
                reply = site.call(path, f"{path}-{framing}-{cut_at}")
                assert reply.status == 502, (path, framing, cut_at)


CASES = {
    "length, end short of it": ((length(11),), BODY, False),
    "length, no body": ((length(10),), b"", False),
    "no body, connection": ((), b"", True),
    "length and chunks": ((length(10), CHUNKED), CHUNK, False),
    "two lengths": ((length(10), length(4)), BODY, False),
    "two equal lengths": ((length(10), length(10)), BODY, None),
    "length that is no number": (("Content-Length: ten",), BODY, False),
    "negative length": (("Content-Length: -1",), BODY, False),
    "list of lengths": (("Content-Length: 10, 10",), BODY, None),
    "gzip": (("Transfer-Encoding: gzip",), BODY, False),
    "gzip, chunked": (("Transfer-Encoding: gzip, chunked",), CHUNK, False),
    "chunked, gzip": (("Transfer-Encoding: chunked, gzip",), CHUNK, False),
    "gzip and chunked": (
        ("Transfer-Encoding: gzip", CHUNKED),
        CHUNK + platform_world.END,
        False,
    ),
    "identity": (("Transfer-Encoding: identity",), BODY, None),
    "bytes after the end": ((length(10),), BODY + b"more", True),
    "answer after the end": (
        (length(10),),
        BODY + b"HTTP/1.1 200 OK\r\n\r\n",
        True,
    ),
    "bytes after the last chunk": (
        (CHUNKED,),
        CHUNK + platform_world.END + b"more",
        True,
    ),
    "size line": ((CHUNKED,), b"a", False),
    "size line, CR": ((CHUNKED,), b"a\r", False),
    "no data": ((CHUNKED,), b"a\r\n", False),
    "data": ((CHUNKED,), CHUNK[:6], False),
    "data, no CRLF": ((CHUNKED,), CHUNK[:-2], False),
    "data, CR": ((CHUNKED,), CHUNK[:-1], False),
    "no last chunk": ((CHUNKED,), CHUNK, False),
    "last chunk, 0": ((CHUNKED,), CHUNK + b"0", False),
    "last chunk, CR": ((CHUNKED,), CHUNK + b"0\r", False),
    "last chunk, line": ((CHUNKED,), CHUNK + b"0\r\n", False),
    "last chunk, no LF": ((CHUNKED,), CHUNK + b"0\r\n\r", False),
    "trailer": ((CHUNKED,), CHUNK + TRAILER, True),
    "trailer, cut name": ((CHUNKED,), CHUNK + TRAILER[:6], False),
    "trailer, cut line": ((CHUNKED,), CHUNK + TRAILER[:-4], False),
    "trailer, cut end": ((CHUNKED,), CHUNK + TRAILER[:-1], False),
    "chunk with a bad size": ((CHUNKED,), b"zz\r\nab\r\n0\r\n\r\n", False),
    "chunk with too much": ((CHUNKED,), b"4\r\n" + BODY + b"\r\n", False),
}


@pytest.mark.parametrize("path", [ORDER, "/report/x"])
def test_only_what_its_framing_completes_is_whole(site, path):
    wrong = []
    for name, (lines, body, is_whole) in CASES.items():
        site.script.lines, site.script.body = lines, body
        reply = site.call(path, name.replace(" ", "-"))
        seen = reply.status == 200 and reply.whole
        if is_whole is None:
            # Either, but never a part.
            if seen and path == ORDER and reply.body != BODY:
                wrong.append((name, reply.status, reply.body))
        elif path == ORDER and seen != is_whole:
            wrong.append((name, reply.status, reply.body))
        elif path != ORDER and seen and not is_whole:
            wrong.append((name, reply.status, reply.body))
    assert not wrong


@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 3,
    ],
)
def test_interim_answers_are_no_answers(site, interim):
    site.script.before = interim
    for path in (ORDER, "/read/x"):
        reply = site.call(path, f"interim{path}")
        assert (reply.status, reply.body) == (200, BODY)
    site.script.cut_at = len(interim)
    assert site.call(ORDER, "interim-alone").status == 502
    site.script.cut_at = len(interim) + 5
    assert site.call(ORDER, "interim-and-cut-head").status == 502


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
def test_answers_without_a_body_are_whole(site, status):
    site.script.status = status
    for lines, body in (((), b""), ((length(10),), b""), ((), b"extra")):
        site.script.lines, site.script.body = lines, body
        reply = site.call(ORDER, f"{status[:3]}-{lines}-{body}")
        assert reply.status == int(status[:3])
        assert reply.body == b""


def test_the_answer_to_a_head_request_has_no_body(site):
    site.script.lines, site.script.body = (length(10),), b""
    reply = site.platform.call(site.entries[0], "HEAD", "/read/x", "head")
    assert (reply.status, reply.body) == (200, b"")
    assert reply.headers["content-length"] == "10"


def test_a_failure_in_answer_to_head_has_no_body(site):
    # Its bytes would be read as the answer to the next request.
    sock = site.platform.connect(site.entries[0])
    headers = platform_world.caller_headers("no-route")
    platform_world.send(sock, "HEAD", "/unknown/x", headers)
    platform_world.send(
        sock, "HEAD", "/unknown/x", [*headers, ("Connection", "close")]
    )
    data = platform_world.read_to_end(sock)
    first, second, rest = data.split(b"\r\n\r\n")
    for head in (first, second):
        assert head.startswith(b"HTTP/1.1 404")
    assert rest == b""


class Resumed:
    """Cuts a stream after its first event, and sends ``rest`` afterwards."""

    def __init__(self, rest, resets=False):
        self._rest = rest
        self._resets = resets

    def __call__(self, server, sock, head):
        sock.sendall(ends.answer_head(head))
        if not platform_world.header(head, "last-event-id"):
            sock.sendall(platform_world.event(1))
            self._reset(sock)
        sock.sendall(self._rest)
        if self._resets:
            self._reset(sock)
        return "close"

    @staticmethod
    def _reset(sock):
        gevent.sleep(0.05)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, proxy.LINGER_RESET
        )
        sock.close()
        raise ConnectionResetError


LATER = platform_world.event(2) + platform_world.event(3)


@pytest.mark.parametrize(
    "rest, resets, body",
    [
        (LATER, False, ends.WHOLE),
        (LATER, True, None),
        (b"", True, None),
        (platform_world.event(2) + b"id: 3\nda", False, None),
        (platform_world.event(2) + b"id: 3\nda", True, None),
    ],
)
def test_a_resumption_completes_a_stream_only_by_its_own_end(
    rest, resets, body
):
    with contextlib.ExitStack() as stack:
        made = ends.Site(stack, tunnelled=False)
        for _ in range(2):
            made.add(made.platform.server(Resumed(rest, resets)))
        reply = made.call("/chat/x", "resumed")
    assert reply.status == 200
    assert reply.whole == (body is not None)
    assert ends.WHOLE.startswith(reply.body)


@pytest.mark.parametrize("rest", [ends.WHOLE, platform_world.event(1)])
def test_a_stream_that_is_begun_again_is_not_joined(rest):
    with contextlib.ExitStack() as stack:
        made = ends.Site(stack, tunnelled=False)
        for _ in range(2):
            made.add(made.platform.server(Resumed(rest)))
        reply = made.call("/chat/x", "begun-again")
    assert not reply.whole
    assert reply.body == platform_world.event(1)


def test_an_error_in_the_middle_of_a_stream_cuts_it(site, monkeypatch):
    def fail(self, event):
        raise KeyError("an error of our own")

    for n, (owner, name) in enumerate(
        (
            (forwarder.Forwarder, "_report_finished"),
            (events_splitter.EventsSplitter, "feed"),
        )
    ):
        site.script.lines, site.script.body = (), ends.WHOLE
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, fail)
            reply = site.call("/report/x", f"failing-{n}")
        assert not (reply.status == 200 and reply.whole)
