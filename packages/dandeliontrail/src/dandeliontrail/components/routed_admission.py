"""Admits the requests of declared routes, some of them later.

A request that comes before the instance has its state waits for that, and one
that resumes a stream until the version that began the stream is known.
"""

from . import answers
from . import early_requests
from . import intake
from . import stream_resumptions


class RoutedAdmission:
    """Refuses or opens routed requests, which have no idempotency key.

    ``open_routed(work, now)`` queues one and returns the effects.
    """

    def __init__(self, state, streams, open_routed):
        self._state = state
        self._open_routed = open_routed
        self._early_requests = early_requests.EarlyRequests()
        self._resumptions = stream_resumptions.StreamResumptions(
            state, streams
        )

    def receive(self, event, now):
        """Admit a request, or hold it until the state has loaded."""
        if not intake.has_state(self._state) and (
            self._early_requests.hold(event, now)
        ):
            return []
        return self._admit(event, now, now)

    def tick(self, now):
        """Admit the requests that have waited long enough."""
        out = []
        ready = intake.has_state(self._state)
        for event, received in self._early_requests.due(ready, now):
            out.extend(self._admit(event, received, now))
        out.extend(self._resumptions.tick(now))
        return out + self._admit_resumed(now)

    def handle_answers(self, source, message, now):
        """Process what another instance knows of streams."""
        out = self._resumptions.handle_answers(source, message, now)
        return out + self._admit_resumed(now)

    def drop(self, request_id):
        """Forget a request that waits; return whether there was one."""
        is_early = self._early_requests.drop(request_id)
        return self._resumptions.drop(request_id) or is_early

    def _admit(self, event, received, now):
        """Open a request that arrived at ``received``, or refuse it."""
        work = intake.routed_work_of(self._state, event, received, now)
        if not work:
            return self._turn_away(event, work, now)
        if intake.resumes_stream(work, event):
            out = self._resumptions.begin(event, work, received, now)
            return out + self._admit_resumed(now)
        return self._open_routed(work, now)

    def _admit_resumed(self, now):
        """Open or refuse the requests whose stream was found, or was not."""
        out = []
        for item in self._resumptions.take_outcomes():
            if item.nothing is None:
                out.extend(self._open_routed(item.work, now))
            else:
                out.extend(self._turn_away(item.event, item.nothing, now))
        return out

    def _turn_away(self, event, nothing, now):
        return [
            answers.refusal(event.request_id, nothing),
            answers.turned_away_line(self._state, event, nothing, now),
        ]
