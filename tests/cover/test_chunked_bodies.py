"""Chunked bodies: the same in any segments, at a cost of their bytes."""

import io
import re

import hypothesis
from hypothesis import strategies as st
import pytest

from dandeliontrail_node import request_framing

BODIES = st.binary(max_size=400)
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
TRAILERS = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n"
)
EXTENSIONS = st.sampled_from([b"", b";a", b';a="b;c"', b";" + b"x" * 40])
MUTATIONS = st.sampled_from(
    [b"", b"\r", b"\n", b"0", b"1", b"g", b";", b" ", b"\r\n", b"\x00"]
)


class Segments(io.RawIOBase):
    """A connection on which bytes arrive in segments of given sizes."""

    def __init__(self, data, sizes):
        self._data = data
        self._sizes = list(sizes)

    def readable(self):
        return True

    def readinto(self, buffer):
        size = self._sizes.pop(0) if self._sizes else len(buffer)
        part = self._data[: min(size, len(buffer))]
        self._data = self._data[len(part) :]
        buffer[: len(part)] = part
        return len(part)


def decode(data, sizes=()):
    """Return the body and the bytes after it, ``None`` if it is refused."""
    rfile = io.BufferedReader(Segments(data, sizes))
    body = request_framing.ChunkedBody(rfile)
    parts = []
    try:
        while part := body.read_part(4096):
            parts.append(part)
    except request_framing.Malformed:
        return None
    assert body.ended
    return b"".join(parts), rfile.read()


def decode_strictly(data):
    """Return what :func:`decode` should, in the plainest way."""
    body = b""
    while match := CHUNK.match(data):
        size = int(match[1], 16)
        data = data[match.end() :]
        if not size:
            trailers = TRAILERS.match(data)
            return trailers and (body, data[trailers.end() :])
        if data[size : size + 2] != b"\r\n":
            return None
        body += data[:size]
        data = data[size + 2 :]
    return None


@st.composite
def encodings(draw):
    """Return a body and one of its encodings."""
    body = draw(BODIES)
    left, data = body, b""
    while left:
        size = draw(st.integers(1, 20))
        part, left = left[:size], left[size:]
        form = draw(st.sampled_from([b"%x", b"%X", b"%03x"]))
        data += form % len(part) + draw(EXTENSIONS) + b"\r\n" + part + b"\r\n"
    trailer = draw(st.sampled_from([b"", b"X-Note: y\r\n"]))
    return body, data + b"0" + draw(EXTENSIONS) + b"\r\n" + trailer + b"\r\n"


SEGMENT_SIZES = st.lists(st.integers(1, 30), max_size=60)


@hypothesis.given(encodings(), SEGMENT_SIZES, st.binary(max_size=20))
def test_a_body_is_the_same_in_any_segments(encoding, sizes, rest):
    body, data = encoding
    assert decode(data + rest, sizes) == (body, rest)


@hypothesis.given(encodings(), SEGMENT_SIZES, st.data())
def test_a_changed_body_is_refused_as_strictly_in_any_segments(
    encoding, sizes, data
):
    encoded = encoding[1]
    begin = data.draw(st.integers(0, len(encoded)))
    end = data.draw(st.integers(begin, min(begin + 3, len(encoded))))
    changed = encoded[:begin] + data.draw(MUTATIONS) + encoded[end:]
    assert decode(changed, sizes) == decode_strictly(changed)


@hypothesis.given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_small_chunks_in_a_run_keep_their_order(sizes):
    parts = [bytes([65 + index] * size) for index, size in enumerate(sizes)]
    data = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    assert decode(data + b"0\r\n\r\n") == (b"".join(parts), b"")


def test_line_ends_inside_small_chunks_are_data():
    body = b"\r\n1\r\n;x\r\n0\r\n\r\n"
    for size in range(1, 16):
        data = b"".join(
            b"%x\r\n%s\r\n" % (len(part), part)
            for part in (
                body[start : start + size]
                for start in range(0, len(body), size)
            )
        )
        assert decode(data + b"0\r\n\r\n") == (body, b"")


@pytest.mark.parametrize(
    "chunk", [b"1;" + b"x" * 500 + b"\r\ny\r\n", b"0" * 15 + b"1\r\ny\r\n"]
)
def test_framing_is_weighed_against_what_it_carries(chunk):
    # Guards against a body that is nearly all extensions (CVE-2023-39326).
    refused = len(chunk) > 30
    decoded = decode(chunk * 20_000 + b"0\r\n\r\n")
    assert (decoded is None) == refused
