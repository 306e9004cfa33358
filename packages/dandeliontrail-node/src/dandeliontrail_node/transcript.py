"""What a caller has of a stream so far, and how another engine goes on.

A second engine that is given the same request again writes the same text
only where its sampling is deterministic.  That is not assumed but seen: the
new text is held against what the caller has, and nothing of it is passed on
until it has caught up.  At the first difference the attempt is dropped.
"""

import msgspec

DATA = b"data:"
DONE = b"data: [DONE]"


class Diverged(Exception):
    """Another engine's answer differs from what the caller has."""


class Delta(msgspec.Struct):
    """The new part of a chat event."""

    content: str | None = None
    tool_calls: msgspec.Raw = msgspec.Raw(b"")
    function_call: msgspec.Raw = msgspec.Raw(b"")


class Choice(msgspec.Struct):
    """One alternative of an event; ``text`` in plain completions."""

    index: int = 0
    delta: Delta | None = None
    text: str | None = None
    logprobs: msgspec.Raw = msgspec.Raw(b"")
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """The part of an event that a continuation depends on."""

    choices: list[Choice] = []
    usage: msgspec.Raw = msgspec.Raw(b"")
    error: msgspec.Raw = msgspec.Raw(b"")


def chunk_of(event):
    """Return the chunk in an event, or ``None`` where there is none."""
    if not event.startswith(DATA):
        return None
    try:
        return msgspec.json.decode(event[len(DATA) :], type=Chunk)
    except msgspec.DecodeError:
        return None


def text_of(chunk):
    """Return the text that a chunk adds."""
    if not chunk.choices:
        return ""
    choice = chunk.choices[0]
    if choice.delta:
        return choice.delta.content or ""
    return choice.text or ""


def _plain(chunk):
    """Tell whether text is all that a chunk carries."""
    if len(chunk.choices) > 1 or _is_given(chunk.error):
        return False
    for choice in chunk.choices:
        delta = choice.delta
        if choice.index or _is_given(choice.logprobs):
            return False
        if delta and (
            _is_given(delta.tool_calls) or _is_given(delta.function_call)
        ):
            return False
    return True


def _is_given(raw):
    return bytes(raw) not in (b"", b"null")


class Transcript:
    """The text and the number of events that the caller has.

    ``plain`` turns false with the first event that holds more than the
    text of one choice: what cannot be compared is not continued elsewhere.
    """

    __slots__ = ("events", "plain", "tokens", "_parts")

    def __init__(self):
        self.events = 0
        self.tokens = 0
        self.plain = True
        self._parts = []

    def take(self, event):
        """Count an event that goes to the caller."""
        if not event.startswith(DATA):
            return
        self.events += 1
        chunk = chunk_of(event)
        if chunk is None or not _plain(chunk):
            self.plain = False
            return
        text = text_of(chunk)
        self.tokens += bool(text)
        self._parts.append(text)

    @property
    def text(self):
        """All the text so far."""
        return "".join(self._parts)


class Splice:
    """Passes on of a rerun what the caller does not have yet."""

    __slots__ = ("_left",)

    def __init__(self, text):
        self._left = text

    def pass_on(self, event):
        """Return the event, its new part, or ``b""`` for nothing new.

        Raises :class:`Diverged` where the rerun says something else, or
        ends before it has caught up.
        """
        if not self._left:
            return event
        chunk = chunk_of(event)
        if chunk is None:
            if event.startswith(DONE):
                raise Diverged()
            return b""
        if not _plain(chunk):
            raise Diverged()
        return self._catch_up(event, text_of(chunk))

    def _catch_up(self, event, text):
        if self._left.startswith(text):
            self._left = self._left[len(text) :]
            return b""
        if not text.startswith(self._left):
            raise Diverged()
        rest = text[len(self._left) :]
        self._left = ""
        return _with_text(event, rest)


def _with_text(event, text):
    fields = msgspec.json.decode(event[len(DATA) :])
    choice = fields["choices"][0]
    if choice.get("delta"):
        choice["delta"]["content"] = text
    else:
        choice["text"] = text
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"
