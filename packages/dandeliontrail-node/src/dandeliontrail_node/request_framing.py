"""Checks of the lines that frame a request: its head and its chunks.

A line that two HTTP parsers could read in two ways hides a request inside
another one (request smuggling: RFC 9112, section 11.2): what one of them takes
for the body, the other one runs.  So each line must have exactly the form that
RFC 9112 gives it, with nothing that a recipient may ignore, repair or fold.
The parsers behind these checks are lenient: that of the standard library ends
the headers at the first line that is none, at a bare CR and at the end of the
connection.

>>> check_header_line(b"Content-Length: 5\\r\\n")
b'Content-Length: 5\\r\\n'
>>> check_header_line(b"Content-Length : 5\\r\\n")
Traceback (most recent call last):
    ...
dandeliontrail_node.request_framing.Malformed: a malformed header line
"""

import re

# RFC 9110, sections 5.5 and 5.6.2.
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_VALUE = rb"[\t\x20-\x7e\x80-\xff]*"
_REQUEST_LINE = re.compile(_TOKEN + rb" [\x21-\x7e]+ HTTP/1\.[01]\r\n")
_HEADER_LINE = re.compile(_TOKEN + rb":" + _VALUE + rb"\r\n")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;" + _VALUE + rb")?\r\n")
_END_OF_LINES = b"\r\n"
_WHITE_SPACE = b" \t\r\n"
# A size with its extensions, and all trailers of a body together.
MAX_CHUNK_LINE_BYTES = 8 * 1024
MAX_TRAILER_BYTES = 16 * 1024
# Framing that is allowed in any case, and in addition for each byte of the
# body: a chunk of one byte has five bytes of framing, twenty with the longest
# size.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 20


class Malformed(ValueError):
    """The framing of a request is not that of HTTP/1.1."""


def check_request_line(line):
    """Check the first line of a request; raises :class:`Malformed`."""
    if _REQUEST_LINE.fullmatch(line) is None:
        raise Malformed("a malformed request line")


def check_header_line(line):
    """Return a header line without white space at the end of its value.

    The empty line that ends the headers is returned as it is.  Raises
    :class:`Malformed`.
    """
    if line == _END_OF_LINES:
        return line
    if _HEADER_LINE.fullmatch(line) is None:
        raise Malformed("a malformed header line")
    return line.rstrip(_WHITE_SPACE) + _END_OF_LINES


def check_headers(headers, version):
    """Check that the headers of a request leave no doubt where it ends.

    ``headers`` is an ``email.message.Message``, ``version`` that of the
    request line, such as ``HTTP/1.1``.  Raises :class:`Malformed`.
    """
    lengths = headers.get_all("content-length") or []
    codings = headers.get_all("transfer-encoding") or []
    if lengths and codings:
        raise Malformed("both a length and a transfer coding")
    if len(lengths) > 1 or len(codings) > 1:
        raise Malformed("a repeated framing header")
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise Malformed("a Content-Length that is no number")
    if codings and codings[0].lower() != "chunked":
        raise Malformed("a transfer coding other than chunked")
    if codings and version != "HTTP/1.1":
        raise Malformed("a transfer coding that its version does not have")
    if len(headers.get_all("host") or []) > 1:
        raise Malformed("more than one Host")


def _small_chunks():
    """Return patterns of a run of small chunks and of one, with its data.

    Chunks of up to 15 bytes without extensions: a run is matched as a whole,
    so that each of them costs a fraction of a microsecond.
    """
    sizes = [
        (b"[%x%X]" % (size, size) if size > 9 else b"%d" % size, size)
        for size in range(1, 16)
    ]
    forms = b"|".join(rb"%s\r\n.{%d}" % (digit, size) for digit, size in sizes)
    data = b"|".join(
        rb"(?<=%s\r\n).{%d}" % (digit, size) for digit, size in sizes
    )
    run = re.compile(rb"(?s:(?:(?:%s)\r\n)++)" % forms)
    one = re.compile(rb"(?s:[1-9A-Fa-f]\r\n(%s)\r\n)" % data)
    return run, one


_SMALL_RUN, _SMALL_CHUNK = _small_chunks()


class ChunkedBody:
    """The body of a request that arrives in chunks (RFC 9112, section 7.1).

    ``rfile`` is the buffered input of the connection.  Extensions and trailers
    are checked and dropped.  ``wire_bytes`` counts what was read of the
    connection, ``body_bytes`` what of it belongs to the body; ``ended`` is
    true after its last chunk.
    """

    __slots__ = ("_rfile", "_left", "ended", "wire_bytes", "body_bytes")

    def __init__(self, rfile):
        self._rfile = rfile
        # Bytes of the present chunk that were not read yet.
        self._left = 0
        self.ended = False
        self.wire_bytes = 0
        self.body_bytes = 0

    def read_part(self, size):
        """Return some of the next ``size`` bytes, ``b""`` at the body's end.

        The work is bounded by what has arrived and by the buffer of the
        connection.  Raises :class:`Malformed`, also if the connection ends
        first or if the chunks are more framing than a body needs.
        """
        data = b""
        if not self._left:
            data = self._read_small_chunks(size)
        if not data and (self._left or self._begin_chunk()):
            data = self._read_data(min(self._left, size))
        self.body_bytes += len(data)
        self._check_framing()
        return data

    def _read_small_chunks(self, size):
        """Return the data of the small chunks that are in the buffer."""
        if self.ended:
            return b""
        buffered = self._rfile.peek()[:size]
        run = _SMALL_RUN.match(buffered)
        if run is None:
            return b""
        self._take(run.end())
        return b"".join(_SMALL_CHUNK.findall(run[0]))

    def _take(self, size):
        self.wire_bytes += size
        return self._rfile.read(size)

    def _take_line(self, limit):
        line = self._rfile.readline(limit)
        self.wire_bytes += len(line)
        return line

    def _begin_chunk(self):
        """Read the size of the next chunk; return whether there is one."""
        if self.ended:
            return False
        line = self._take_line(MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise Malformed("a malformed chunk size")
        self._left = int(match[1], 16)
        if not self._left:
            self._read_trailers()
            self.ended = True
        return not self.ended

    def _read_data(self, size):
        data = self._rfile.read1(size)
        if not data:
            raise Malformed("an end inside a chunk")
        self.wire_bytes += len(data)
        self._left -= len(data)
        if not self._left and self._take(2) != _END_OF_LINES:
            raise Malformed("a chunk that is not as long as its size")
        return data

    def _check_framing(self):
        framing = self.wire_bytes - self.body_bytes
        if framing > (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
        ):
            raise Malformed("more framing than its body needs")

    def _read_trailers(self):
        left = MAX_TRAILER_BYTES
        while left > 0:
            line = self._take_line(left)
            if check_header_line(line) == _END_OF_LINES:
                return
            left -= len(line)
        raise Malformed("too many trailers")
