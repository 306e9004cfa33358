"""Waiting prompts of one kind, in turns of their organisations."""

import bisect
import heapq
import operator

import msgspec

# What is ahead of the prompts of a group is counted anew after changes, but
# at most once in this time for each of its prompts: 0.1 s at 500 prompts.
NUMBERING_SECONDS = 0.0002


class Prompt(msgspec.Struct, eq=False):
    """A prompt that waits or was granted.

    ``arrived_at`` is when its request was received, ``target_at`` when its
    first token is due, ``expires_at`` when it is dropped unless it is renewed.
    ``granted_at`` is ``None`` while it waits.  ``began_at`` is when its
    instance could send it at the earliest; ``measured`` is false if that is
    not known well enough to measure the engine.  ``ahead`` is the number of
    tokens of its group before it, ``None`` until they are counted.
    """

    asker: object
    number: int
    tokens: int
    step: int
    organisation: str
    arrived_at: float
    target_at: float
    expires_at: float
    granted_at: float | None = None
    began_at: float = 0.0
    measured: bool = True
    is_late: bool = False
    ahead: int | None = None

    def can_meet_target(self, pace, start):
        """Return whether a prefill from ``start`` on would meet the target."""
        return start + self.tokens / pace <= self.target_at


_arrival = operator.attrgetter("arrived_at")


class PromptGroup:
    """The prompts of one step that can, or cannot, meet their targets.

    ``lanes`` has the prompts of each organisation by arrival.
    """

    __slots__ = ("lanes", "tokens", "_count", "_is_changed", "_numbered_at")

    def __init__(self):
        self.lanes = {}
        self.tokens = 0
        self._count = 0
        self._is_changed = True
        self._numbered_at = 0.0

    def add(self, prompt):
        """Enter a prompt."""
        lane = self.lanes.setdefault(prompt.organisation, [])
        bisect.insort_right(lane, prompt, key=_arrival)
        prompt.ahead = None
        self.tokens += prompt.tokens
        self._count += 1
        self._is_changed = True

    def remove(self, prompt):
        """Remove a prompt."""
        lane = self.lanes[prompt.organisation]
        lane.remove(prompt)
        if not lane:
            del self.lanes[prompt.organisation]
        self.tokens -= prompt.tokens
        self._count -= 1
        self._is_changed = True

    def head(self, usage):
        """Return the first prompt of the organisation that used least."""
        _, _, organisation = min(
            (usage.scaled(organisation), lane[0].arrived_at, organisation)
            for organisation, lane in self.lanes.items()
        )
        return self.lanes[organisation][0]

    def ahead(self, prompt, usage, now):
        """Return how many tokens of this group come before a prompt."""
        age = now - self._numbered_at
        is_old = age >= NUMBERING_SECONDS * self._count
        if prompt.ahead is None or (self._is_changed and is_old):
            self._number(usage, now)
        return prompt.ahead

    def _number(self, usage, now):
        """Compute what is ahead of each prompt if all are granted in turn."""
        self._is_changed = False
        self._numbered_at = now
        turns = [
            (usage.tokens(organisation, now), lane[0].arrived_at, index, 0)
            for index, (organisation, lane) in enumerate(self.lanes.items())
        ]
        heapq.heapify(turns)
        lanes = list(self.lanes.values())
        ahead = 0
        while turns:
            used, _, index, place = turns[0]
            lane = lanes[index]
            prompt = lane[place]
            prompt.ahead = ahead
            ahead += prompt.tokens
            used += prompt.tokens
            place += 1
            if place == len(lane):
                heapq.heappop(turns)
            else:
                turn = (used, lane[place].arrived_at, index, place)
                heapq.heapreplace(turns, turn)
