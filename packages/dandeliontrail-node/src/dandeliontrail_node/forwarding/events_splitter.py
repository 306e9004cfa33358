"""Splits a byte stream into whole server-sent events.

The format is that of WHATWG HTML, section 9.2: an event ends with an empty
line, and a line ``id: N`` sets its id.  Only whole events are relayed: if a
server fails in the middle of one, the caller has no partial event, and
another server can resume the stream after the last whole one.
"""

import re

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# Limits the memory used for a server that never ends an event.  Real events
# are below 1 KB.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLong(ValueError):
    """A server sent an event that is longer than the limit."""


class EventsSplitter:
    """Buffers the bytes of one server and returns them as whole events.

    ``last_id`` is the id of the last whole event; at the start, of the event
    after which the server resumes the stream.  ``count`` is the number of
    whole events, with empty ones.
    """

    __slots__ = ("_incomplete", "last_id", "count")

    def __init__(self, last_id=""):
        self._incomplete = b""
        self.last_id = last_id
        self.count = 0

    def feed(self, data):
        """Return the events that ``data`` completes, concatenated.

        Raises :class:`EventTooLong` if the incomplete event is too long.
        """
        data = self._incomplete + data
        end = _end_of_last_event(data)
        self._incomplete = data[end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLong("an event is longer than the limit")
        events = data[:end]
        self.count += sum(map(events.count, _EVENT_ENDS))
        ids = _ID_LINE.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events

    @property
    def pending(self):
        """Whether part of an event has been received."""
        return bool(self._incomplete)


def _end_of_last_event(data):
    """Return where the last whole event in ``data`` ends, 0 without one."""
    end = 0
    for terminator in _EVENT_ENDS:
        found = data.rfind(terminator)
        if found >= 0:
            end = max(end, found + len(terminator))
    return end
