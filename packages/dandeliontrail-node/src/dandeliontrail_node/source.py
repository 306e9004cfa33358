"""Reads one attempt's answer from the engine that it was given to.

Over however many connections: where one breaks or falls silent, the same
engine is asked for the rest of the stream.  That starts no work, so it is
done for requests that must not be repeated as well.
"""

import contextlib

import msgspec

from dandeliontrail import events

from . import connection
from . import engine_client
from . import silence
from . import transcript

# Reconnecting without one more event in between is given up after this.
MOST_RESUMES = 3
# A server that breaks off after each event would be asked for ever, by a
# worker that nobody waits for any more.  A stream of minutes that loses a
# connection every few seconds stays below this.
MOST_RESUMES_IN_ALL = 64


class Source:
    """One attempt: the server's answer, whatever connection it comes by."""

    def __init__(self, host, engines, call, dispatch, limits):
        self._host = host
        self._engines = engines
        self._call = call
        self.dispatch = dispatch
        self.url = dispatch.url
        self.watch = silence.PathWatch(
            engines, self, limits.backend_silent_seconds
        )
        self._answer = None
        self._received = 0
        self._resumes = 0
        self._resumes_in_all = 0
        self._assembled = False
        self._began = False
        self._when_silent = None
        self._left = contextlib.ExitStack()

    def when_silent(self, call):
        """Have ``call`` made with this while its server seems not to be."""
        self._when_silent = call

    def silent(self):
        """Say that the server is silent, also on new connections."""
        if self._when_silent is not None:
            self._when_silent(self)

    def began(self):
        """Say that the first byte is about to be written."""
        if self._began:
            return
        self._began = True
        self._host.submit(
            events.AttemptBegan(
                self.dispatch.request_id, self.dispatch.attempt
            )
        )

    def open(self, outgoing):
        """Send the request; return the status of the answer."""
        try:
            self._answer = self._engines.open(self, outgoing)
        except connection.PathLost as exc:
            self._leave_path(exc)
        except engine_client.Broken as exc:
            self._recover(exc)
        return self._answer.status

    def restart(self):
        """Forget the answer so far; the next ``open`` starts anew."""
        self._answer.close()
        self._answer = None
        self._received = 0
        self._resumes = 0

    def _leave_path(self, exc):
        self._left.callback(exc.left.close)
        self._switch(exc.answer)

    def _switch(self, answer):
        self._answer = answer
        # A whole answer goes on as the stream that it was made from.
        self._assembled = not self._call.streamed

    def resumable(self):
        """Tell whether its engine would know the stream if it had it."""
        return self._engines.resumable(self.url, self._call.streamed)

    def learn(self):
        """Find out for later whether the engine knew this stream."""
        if self._call.generation:
            self._engines.learn(
                self.url, self.dispatch.request_id, self._call.streamed
            )

    def resumed(self):
        """Return the rest of the stream over a new connection, or None.

        Raises ``NotHeld`` where the server does not know the stream.
        """
        if not self._call.generation:
            return None
        try:
            return self._engines.resume(
                self.url,
                self.dispatch.request_id,
                self._received,
                self.watch,
            )
        except engine_client.NotHeld:
            raise
        except engine_client.Broken:
            return None

    def _recover(self, exc):
        """Go on after a break, or raise it again."""
        self._resumes += 1
        self._resumes_in_all += 1
        answer = None
        if (
            self._resumes <= MOST_RESUMES
            and self._resumes_in_all <= MOST_RESUMES_IN_ALL
        ):
            answer = self.resumed()
        if answer is None:
            raise exc
        self._switch(answer)

    def header(self, name):
        """Return a header of the answer, or ``None``."""
        return self._answer.get(name)

    def next_event(self):
        """Return the next event of the stream."""
        while True:
            try:
                event = self._answer.read_event()
                if event:
                    return self._count(event)
                raise engine_client.Broken(
                    "it ended without [DONE]", closed=True
                )
            except connection.PathLost as exc:
                self._leave_path(exc)
            except engine_client.Broken as exc:
                self._recover(exc)

    def _count(self, event):
        self.watch.heard()
        self._resumes = 0
        self._received += event.startswith(transcript.DATA)
        return event

    def whole(self):
        """Return the whole body."""
        while True:
            if self._assembled:
                return self._assemble()
            try:
                body = self._answer.read_all()
                self._check_whole(body)
                return body
            except connection.PathLost as exc:
                self._leave_path(exc)
            except engine_client.Broken as exc:
                self._recover(exc)

    def _check_whole(self, body):
        """Refuse a body whose end cannot be told from a cut."""
        if self._answer.framed:
            return
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError:
            raise engine_client.Broken("an answer of no stated length ended")

    def _assemble(self):
        """Make a whole answer out of the events of its stream."""
        held = transcript.Transcript()
        event = self.next_event()
        while not event.startswith(transcript.DONE):
            held.take(event)
            event = self.next_event()
        if not held.plain:
            raise engine_client.Broken("its stream holds more than text")
        return _whole_body(self._call, self.dispatch.request_id, held)

    def close(self):
        """End the exchange; where it is unfinished, the engine stops."""
        if self._answer:
            self._answer.close()
        self._left.close()


def _whole_body(call, request_id, held):
    choice = {"index": 0, "finish_reason": "stop"}
    if call.chat:
        choice["message"] = {"role": "assistant", "content": held.text}
    else:
        choice["text"] = held.text
    kind = "chat.completion" if call.chat else "text_completion"
    usage = {"prompt_tokens": 0, "completion_tokens": held.tokens}
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": kind,
            "choices": [choice],
            "usage": usage,
        }
    )
