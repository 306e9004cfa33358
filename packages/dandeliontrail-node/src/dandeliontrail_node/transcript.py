"""Tracks what a caller has received, so that another engine can continue.

A second engine that gets the same request writes the same text only if its
sampling is deterministic. This is checked instead of assumed: the new text is
compared with what the caller has, and none of it is passed on until it goes
beyond that. The attempt fails at the first difference.
"""

import msgspec

DATA_PREFIX = b"data:"
DONE_EVENT = b"data: [DONE]"


class Diverged(Exception):
    """Another engine's answer differs from what the caller has."""


class Delta(msgspec.Struct):
    """The new part of a chat event."""

    content: str | None = None
    tool_calls: msgspec.Raw = msgspec.Raw(b"")
    function_call: msgspec.Raw = msgspec.Raw(b"")


class Choice(msgspec.Struct):
    """One choice of an event; ``text`` is set in plain completions."""

    index: int = 0
    delta: Delta | None = None
    text: str | None = None
    logprobs: msgspec.Raw = msgspec.Raw(b"")
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """The fields of an event that a continuation depends on."""

    choices: list[Choice] = []
    usage: msgspec.Raw = msgspec.Raw(b"")
    error: msgspec.Raw = msgspec.Raw(b"")


def parse_chunk(event):
    """Return the chunk in an event, or ``None`` if it has none."""
    if not event.startswith(DATA_PREFIX):
        return None
    try:
        return msgspec.json.decode(event[len(DATA_PREFIX) :], type=Chunk)
    except msgspec.DecodeError:
        return None


def chunk_text(chunk):
    """Return the text that a chunk adds."""
    if not chunk.choices:
        return ""
    choice = chunk.choices[0]
    if choice.delta:
        return choice.delta.content or ""
    return choice.text or ""


def _is_text_only(chunk):
    """Whether a chunk carries nothing but the text of one choice."""
    if len(chunk.choices) > 1 or _is_present(chunk.error):
        return False
    for choice in chunk.choices:
        delta = choice.delta
        if choice.index or _is_present(choice.logprobs):
            return False
        if delta and (
            _is_present(delta.tool_calls) or _is_present(delta.function_call)
        ):
            return False
    return True


def _is_present(raw):
    return bytes(raw) not in (b"", b"null")


class Transcript:
    """The text and the number of events that the caller has received.

    ``plain`` becomes false with the first event that carries more than the
    text of one choice: such content cannot be compared, so the stream is not
    continued on another engine.
    """

    __slots__ = ("events", "plain", "tokens", "_parts")

    def __init__(self):
        self.events = 0
        self.tokens = 0
        self.plain = True
        self._parts = []

    def append(self, event):
        """Record an event that is sent to the caller."""
        if not event.startswith(DATA_PREFIX):
            return
        self.events += 1
        chunk = parse_chunk(event)
        if chunk is None or not _is_text_only(chunk):
            self.plain = False
            return
        text = chunk_text(chunk)
        self.tokens += bool(text)
        self._parts.append(text)

    @property
    def text(self):
        """The complete text so far."""
        return "".join(self._parts)


class DeliveredFilter:
    """Drops the part of a repeated answer that the caller already has."""

    __slots__ = ("_left",)

    def __init__(self, text):
        self._left = text

    def undelivered_part(self, event):
        """Return the event, its undelivered part, or ``b""`` if none.

        Raises :class:`Diverged` if the answer differs from the delivered text
        or ends before it has repeated all of it.
        """
        if not self._left:
            return event
        chunk = parse_chunk(event)
        if chunk is None:
            if event.startswith(DONE_EVENT):
                raise Diverged()
            return b""
        if not _is_text_only(chunk):
            raise Diverged()
        return self._skip_delivered(event, chunk_text(chunk))

    def _skip_delivered(self, event, text):
        if self._left.startswith(text):
            self._left = self._left[len(text) :]
            return b""
        if not text.startswith(self._left):
            raise Diverged()
        rest = text[len(self._left) :]
        self._left = ""
        return _replace_text(event, rest)


def _replace_text(event, text):
    fields = msgspec.json.decode(event[len(DATA_PREFIX) :])
    choice = fields["choices"][0]
    if choice.get("delta"):
        choice["delta"]["content"] = text
    else:
        choice["text"] = text
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"
