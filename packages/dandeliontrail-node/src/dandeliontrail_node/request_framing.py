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


class ChunkedBody:
    """The body of a request that arrives in chunks (RFC 9112, section 7.1).

    ``rfile`` is the buffered input of the connection.  Extensions and trailers
    are checked and dropped.
    """

    __slots__ = ("_rfile", "_left", "_ended")

    def __init__(self, rfile):
        self._rfile = rfile
        # Bytes of the present chunk that were not read yet.
        self._left = 0
        self._ended = False

    def read(self, length=None):
        """Return up to ``length`` bytes, fewer only at the body's end.

        Raises :class:`Malformed`, also if the connection ends first.
        """
        parts = []
        while length is None or length > 0:
            if not self._left and not self._begin_chunk():
                break
            size = self._left if length is None else min(self._left, length)
            parts.append(self._read_data(size))
            if length is not None:
                length -= size
        return b"".join(parts)

    def _begin_chunk(self):
        """Read the size of the next chunk; return whether there is one."""
        if self._ended:
            return False
        line = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise Malformed("a malformed chunk size")
        self._left = int(match[1], 16)
        if not self._left:
            self._read_trailers()
            self._ended = True
        return not self._ended

    def _read_data(self, size):
        data = self._rfile.read(size)
        if len(data) < size:
            raise Malformed("an end inside a chunk")
        self._left -= size
        if not self._left and self._rfile.read(2) != _END_OF_LINES:
            raise Malformed("a chunk that is not as long as its size")
        return data

    def _read_trailers(self):
        left = MAX_TRAILER_BYTES
        while left > 0:
            line = self._rfile.readline(left)
            if check_header_line(line) == _END_OF_LINES:
                return
            left -= len(line)
        raise Malformed("too many trailers")
