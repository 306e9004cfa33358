"""Builds the requests that are sent to backend servers."""

import msgspec

from . import engine_client

JSON_HEADERS = {"Content-Type": "application/json"}
CHAT_PATH = "/v1/chat/completions"
# Names the version that the engine announced, '' for none.  An engine of
# another version answers that it did not run the request.
SOFTWARE_VERSION_HEADER = "X-Software-Version"


class Message(msgspec.Struct):
    """The assistant's message that a continuation starts from."""

    content: str
    role: str = "assistant"


class GenerationCall:
    """A caller's generation request, to be sent to engines."""

    def __init__(self, path, fields, streamed):
        self._path = path
        self._fields = fields
        self.streamed = streamed
        self.generation = True

    @property
    def chat(self):
        """Whether it is a chat and not a plain completion."""
        return self._path == CHAT_PATH

    def request_for(self, dispatch):
        """Return the request for an engine, with the priority in its body."""
        return self._new_request(dispatch, self._fields)

    def continuation(self, dispatch, text, events):
        """Return a request for the rest after ``text``, or ``None``.

        The text so far goes into the prompt, so that another engine continues
        from it; the token limit is reduced by ``events``. Returns ``None`` if
        the prompt is not a plain string.
        """
        fields = dict(self._fields)
        if self.chat and "messages" in fields:
            messages = msgspec.json.decode(
                fields["messages"], type=list[msgspec.Raw]
            )
            assistant_message = msgspec.Raw(msgspec.json.encode(Message(text)))
            fields["messages"] = _encode([*messages, assistant_message])
            fields["continue_final_message"] = _encode(True)
            fields["add_generation_prompt"] = _encode(False)
        elif not self._continue_prompt(fields, text):
            return None
        for name in ("max_tokens", "max_completion_tokens"):
            if name in fields:
                remaining = msgspec.json.decode(fields[name]) - events
                fields[name] = _encode(max(1, remaining))
        return self._new_request(dispatch, fields)

    def _continue_prompt(self, fields, text):
        prompt = msgspec.json.decode(fields.get("prompt", b"null"))
        if not isinstance(prompt, str):
            return False
        fields["prompt"] = _encode(prompt + text)
        return True

    def _new_request(self, dispatch, fields):
        fields["priority"] = msgspec.Raw(b"%d" % dispatch.priority)
        headers = {
            **JSON_HEADERS,
            "X-Request-Id": dispatch.request_id,
            SOFTWARE_VERSION_HEADER: dispatch.software_version,
        }
        body = msgspec.json.encode(fields)
        return engine_client.OutgoingRequest("POST", self._path, headers, body)


def _encode(value):
    return msgspec.Raw(msgspec.json.encode(value))


class ServiceCall:
    """A call of a plain service, which is relayed unchanged."""

    streamed = False
    generation = False

    def __init__(self, method, target, content_type, body):
        self._method = method
        self._target = target
        self._content_type = content_type
        self._body = body

    def request_for(self, dispatch):
        """Return the request for the service."""
        headers = {"X-Request-Id": dispatch.request_id}
        if self._content_type:
            headers["Content-Type"] = self._content_type
        return engine_client.OutgoingRequest(
            self._method, self._target, headers, self._body
        )
