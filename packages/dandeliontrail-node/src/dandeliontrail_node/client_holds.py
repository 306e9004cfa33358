"""What one request of a client holds of the instance's account.

The HTTP server opens one for each request and closes it once the response has
ended, whatever way it took; so nothing has to be given back elsewhere.
"""

import time

import gevent

from dandeliontrail.decisions import held_bytes

# How long to wait before asking again for room that others have.
ROOM_POLL_SECONDS = 0.05


class RequestHolds:
    """The holds of one request, from its body to the end of its response.

    ``room`` is that of its listener (:class:`.listener_room.ListenerRoom`);
    ``abort_writing`` is called if the caller takes its answer too slowly.
    """

    __slots__ = (
        "_room",
        "_abort_writing",
        "_head",
        "_body",
        "_answers",
    )

    def __init__(self, room, abort_writing):
        self._room = room
        self._abort_writing = abort_writing
        self._head = None
        self._body = None
        self._answers = ()

    def take_head(self, size):
        """Hold ``size`` bytes for the head; return whether there is room."""
        self._head = self._room.account.open(held_bytes.Stage.REQUEST)
        return self._head.resize(size, time.monotonic())

    def open_body(self, on_cut):
        """Return the hold of the body; ``on_cut`` is called if it is cut."""
        self._body = self._room.account.open(self._room.body_stage, on_cut)
        return self._body

    def body_is_read(self):
        """Keep the body until the request has ended."""
        body = self._body
        if body.stage is held_bytes.Stage.BODY:
            body.enter(held_bytes.Stage.REQUEST)

    def take_copy(self):
        """Hold the body once more; return whether there is room."""
        body = self._body
        return body.resize(2 * body.size, time.monotonic())

    def open_answer(self):
        """Return an :class:`AnswerHold`."""
        hold = AnswerHold(self._room.account)
        self._answers += (hold,)
        return hold

    def deliver(self, hold):
        """Have an answer cut if its caller is too slow and others wait."""
        if hold not in self._answers:
            self._answers += (hold,)
        hold.deliver(self._cut_answer)

    def _cut_answer(self):
        self._room.report.note("answer_not_taken")
        self._abort_writing()

    def note_refused(self, problem):
        """Report a request that is refused before it was read whole."""
        self._room.report.note(problem.code, problem.message)

    def note_taken(self, size):
        """Record that the caller has taken ``size`` bytes of its answer."""
        for hold in self._answers:
            hold.note_taken(size)

    def close(self):
        """Give everything back."""
        for hold in (self._head, self._body):
            if hold is not None:
                hold.close()
        for hold in self._answers:
            hold.close()


class AnswerHold:
    """What the answer of one attempt holds."""

    __slots__ = ("_hold",)

    def __init__(self, account):
        self._hold = account.open(held_bytes.Stage.ANSWER)

    def wait_for_room(self, size):
        """Hold ``size`` bytes, once there is room.

        Only the caller's deadline bounds the wait: the server has worked on
        the answer already.
        """
        while size > self._hold.size:
            if self._hold.resize(size, time.monotonic()):
                return
            gevent.sleep(ROOM_POLL_SECONDS)

    def deliver(self, abort_writing):
        """See :meth:`RequestHolds.deliver`."""
        self._hold.on_cut = abort_writing
        self._hold.enter(held_bytes.Stage.DELIVERY)
        self.note_taken(self._hold.size)

    def note_taken(self, size):
        """Record that the caller has taken ``size`` bytes."""
        self._hold.note_progress(size, time.monotonic())

    def close(self):
        """Give everything back; may be called again."""
        self._hold.close()
