"""Splits a byte stream into whole server-sent events.

The format is that of WHATWG HTML, section 9.2: an event ends with an empty
line, and a line ``id: N`` sets its id.  Only whole events are relayed: if a
server fails in the middle of one, the caller has no partial event, and
another server can resume the stream after the last whole one.
"""

import re

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_NUMBER = re.compile("[0-9]{1,18}")
# Limits the memory used for a server that never ends an event.  Real events
# are below 1 KB.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLong(ValueError):
    """A server sent an event that is longer than the limit."""


class NotResumed(ValueError):
    """A server that was to resume a stream sent other events."""


class EventsSplitter:
    """Buffers the bytes of one server and returns them as whole events.

    ``last_id`` is the id of the last whole event; at the start, of the event
    after which the server resumes the stream.  ``count`` is the number of
    whole events, with empty ones.  With ``resuming`` the first id must come
    after ``last_id``: a server that begins again sends another run's events.
    """

    __slots__ = ("_incomplete", "_is_resuming", "last_id", "count")

    def __init__(self, last_id="", resuming=False):
        self._incomplete = b""
        self._is_resuming = resuming
        self.last_id = last_id
        self.count = 0

    def feed(self, data):
        """Return the events that ``data`` completes, concatenated.

        Raises :class:`EventTooLong` if the incomplete event is too long, and
        :class:`NotResumed`.
        """
        data = self._incomplete + data
        end = _end_of_last_event(data)
        self._incomplete = data[end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLong("an event is longer than the limit")
        events = data[:end]
        self.count += sum(map(events.count, _EVENT_ENDS))
        ids = _ID_LINE.findall(events)
        if self._is_resuming and events:
            self._check_resumed(ids)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events

    def _check_resumed(self, ids):
        if not self.last_id:
            raise NotResumed("the events of the stream have no ids")
        if not ids:
            return
        first = ids[0].decode("latin-1")
        if not _is_after(first, self.last_id):
            raise NotResumed(
                f"event {first[:20]} came after {self.last_id[:20]}"
            )
        self._is_resuming = False

    @property
    def pending(self):
        """Whether part of an event has been received."""
        return bool(self._incomplete)


def _is_after(event_id, earlier_id):
    """Return whether an id may follow; ids that are no numbers must differ."""
    if _NUMBER.fullmatch(event_id) and _NUMBER.fullmatch(earlier_id):
        return int(event_id) > int(earlier_id)
    return event_id != earlier_id


def _end_of_last_event(data):
    """Return where the last whole event in ``data`` ends, 0 without one."""
    end = 0
    for terminator in _EVENT_ENDS:
        found = data.rfind(terminator)
        if found >= 0:
            end = max(end, found + len(terminator))
    return end
