"""Cuts a stream into whole events.

The format is that of server-sent events (WHATWG HTML, section 9.2): an
event ends with an empty line, and a line ``id: N`` names it.  Only whole
events are passed on, so that a server which breaks off in the middle of one
leaves nothing half said, and another can go on after the last.
"""

import re

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# A server that never ends an event would have all of it gathered here.
MOST_BYTES = 1024 * 1024


class EventTooLong(ValueError):
    """A server sent more than is gathered of one event."""


class EventsSplitter:
    """Gathers the bytes of one server and gives them out as whole events.

    ``last_id`` names the event after which the server goes on.
    """

    __slots__ = ("_rest", "last_id")

    def __init__(self, last_id=""):
        self._rest = b""
        self.last_id = last_id

    def feed(self, data):
        """Return the events that ``data`` completes, as one piece of bytes."""
        data = self._rest + data
        end = _last_end(data)
        self._rest = data[end:]
        if len(self._rest) > MOST_BYTES:
            raise EventTooLong("an event has no end")
        whole = data[:end]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    @property
    def pending(self):
        """Tell whether part of an event has come."""
        return bool(self._rest)


def _last_end(data):
    """Return where the last whole event in ``data`` ends, zero for none."""
    end = 0
    for mark in _ENDS:
        found = data.rfind(mark)
        if found >= 0:
            end = max(end, found + len(mark))
    return end
