"""Notes which answers last, as proof that a prompt crashes no server."""

import collections

import msgspec

from ..decisions import crash_suspects
from . import request_lifecycle


class _BegunAnswer(msgspec.Struct):
    """An answer that began; at ``due`` its server has lived with it."""

    due: float
    request_id: str
    attempt: int


class LastingAnswers:
    """Watches answers from their first output on; ``lives`` by request id."""

    __slots__ = ("_ends", "_lives", "_begun")

    def __init__(self, ends, lives):
        self._ends = ends
        self._lives = lives
        self._begun = collections.deque()

    def note_begun(self, request, now):
        """Note that an attempt of a request has its first output."""
        if request.work.part_fingerprints:
            self._begun.append(
                _BegunAnswer(
                    now + crash_suspects.CRASH_WINDOW_SECONDS,
                    request.work.request_id,
                    request.attempt,
                )
            )

    def tick(self, now):
        """Record what servers have been answering on for a while."""
        begun = self._begun
        while begun and begun[0].due <= now:
            answer = begun.popleft()
            request = self._lives.get(answer.request_id)
            if (
                request is not None
                and request.attempt == answer.attempt
                and request.phase is request_lifecycle.Phase.STREAMING
            ):
                self._ends.record_sound(
                    request.work, request.software_version, now
                )
