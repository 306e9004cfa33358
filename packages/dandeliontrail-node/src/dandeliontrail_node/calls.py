"""What is sent on for a caller's request, and how it is continued."""

import msgspec

from . import engine_client

JSON_HEADERS = {"Content-Type": "application/json"}
CHAT_PATH = "/v1/chat/completions"


class Message(msgspec.Struct):
    """The assistant's message that a continuation starts from."""

    content: str
    role: str = "assistant"


class GenerationCall:
    """A generation request and how to send it on."""

    def __init__(self, path, raw, streamed):
        self._path = path
        self._raw = raw
        self.streamed = streamed
        self.generation = True

    @property
    def chat(self):
        """Tell whether it is a chat and not a plain completion."""
        return self._path == CHAT_PATH

    def outgoing(self, dispatch):
        """Return what is sent, with the priority in the body."""
        return self._outgoing(dispatch, self._raw)

    def continuation(self, dispatch, text, events):
        """Return what asks for the text after ``text``, or ``None``.

        The text so far goes into the prompt, so that another engine's
        sampling goes on from it; ``events`` shortens the tokens asked for.
        """
        raw = dict(self._raw)
        if self.chat and "messages" in raw:
            messages = msgspec.json.decode(
                raw["messages"], type=list[msgspec.Raw]
            )
            last = msgspec.Raw(msgspec.json.encode(Message(text)))
            raw["messages"] = _raw([*messages, last])
            raw["continue_final_message"] = _raw(True)
            raw["add_generation_prompt"] = _raw(False)
        elif not self._continue_prompt(raw, text):
            return None
        for name in ("max_tokens", "max_completion_tokens"):
            if name in raw:
                left = msgspec.json.decode(raw[name]) - events
                raw[name] = _raw(max(1, left))
        return self._outgoing(dispatch, raw)

    def _continue_prompt(self, raw, text):
        prompt = msgspec.json.decode(raw.get("prompt", b"null"))
        if not isinstance(prompt, str):
            return False
        raw["prompt"] = _raw(prompt + text)
        return True

    def _outgoing(self, dispatch, raw):
        raw["priority"] = msgspec.Raw(b"%d" % dispatch.priority)
        headers = {**JSON_HEADERS, "X-Request-Id": dispatch.request_id}
        body = msgspec.json.encode(raw)
        return engine_client.Outgoing("POST", self._path, headers, body)


def _raw(value):
    return msgspec.Raw(msgspec.json.encode(value))


class ServiceCall:
    """A plain service's call, which is relayed as it is."""

    streamed = False
    generation = False

    def __init__(self, method, target, content_type, body):
        self._method = method
        self._target = target
        self._content_type = content_type
        self._body = body

    def outgoing(self, dispatch):
        """Return what is sent."""
        headers = {"X-Request-Id": dispatch.request_id}
        if self._content_type:
            headers["Content-Type"] = self._content_type
        return engine_client.Outgoing(
            self._method, self._target, headers, self._body
        )
