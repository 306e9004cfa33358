"""The prompts that wait for an engine, in the order in which it takes them.

They are ordered by priority step; then those that can meet their target come
before those that cannot; then by what their organisation was recently granted
at this engine; then by arrival.  A prompt is looked for among the first ones
of the organisations, so its cost does not grow with a long queue.
"""

import bisect
import math
import operator

import msgspec

# Time in seconds for the messages between the grant and the first token.
MESSAGE_SECONDS = 0.02
# How often all prompts are checked for whether they can meet their target.
# The first one is checked each time.
RECHECK_SECONDS = 0.1


class Prompt(msgspec.Struct, eq=False):
    """A prompt that waits or was granted.

    ``arrived_at`` is when its request was received, ``target_at`` when its
    first token is due, ``expires_at`` when it is dropped unless it is renewed.
    ``granted_at`` is ``None`` while it waits.  ``began_at`` is when its
    instance could send it at the earliest; ``measured`` is false if that is
    not known well enough to measure the engine.  ``before`` is used by the
    lane that it waits in.
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
    before: float = 0.0

    def can_meet_target(self, pace, now):
        """Return whether a grant now would meet the target."""
        due = now + self.tokens / pace + MESSAGE_SECONDS
        return due <= self.target_at


_arrival = operator.attrgetter("arrived_at")


class _Lane:
    """The prompts of one organisation, by arrival.

    ``tokens_before`` costs nothing while prompts come at the end and go at
    the start; after other changes the lane is numbered again on demand.
    """

    __slots__ = ("prompts", "tokens", "_taken", "_is_numbered")

    def __init__(self):
        self.prompts = []
        self.tokens = 0
        self._taken = 0
        self._is_numbered = True

    def add(self, prompt):
        index = bisect.bisect_right(
            self.prompts, prompt.arrived_at, key=_arrival
        )
        if index < len(self.prompts):
            self._is_numbered = False
        prompt.before = self._taken + self.tokens
        self.prompts.insert(index, prompt)
        self.tokens += prompt.tokens

    def remove(self, prompt):
        if self.prompts[0] is prompt:
            self._taken += prompt.tokens
        else:
            self._is_numbered = False
        self.prompts.remove(prompt)
        self.tokens -= prompt.tokens

    def tokens_before(self, prompt):
        if not self._is_numbered:
            self._number()
        return prompt.before - self._taken

    def _number(self):
        self._taken = 0
        before = 0
        for prompt in self.prompts:
            prompt.before = before
            before += prompt.tokens
        self._is_numbered = True


class _Group:
    """The prompts of one step that can, or cannot, meet their targets."""

    __slots__ = ("lanes", "tokens")

    def __init__(self):
        self.lanes = {}
        self.tokens = 0

    def add(self, prompt):
        lane = self.lanes.get(prompt.organisation)
        if lane is None:
            lane = self.lanes[prompt.organisation] = _Lane()
        lane.add(prompt)
        self.tokens += prompt.tokens

    def remove(self, prompt):
        lane = self.lanes[prompt.organisation]
        lane.remove(prompt)
        if not lane.prompts:
            del self.lanes[prompt.organisation]
        self.tokens -= prompt.tokens

    def head(self, usage):
        """Return the first prompt of the organisation that used least."""
        scaled = usage.scaled
        best = None
        for organisation, lane in self.lanes.items():
            first = lane.prompts[0]
            rank = (scaled(organisation), first.arrived_at)
            if best is None or rank < best:
                best = rank
                found = first
        return found

    def ahead(self, prompt, usage, now):
        """Return how many tokens of this group come before a prompt.

        Each organisation gets grants until its usage exceeds what that of the
        prompt's organisation will be just before the prompt.
        """
        before = self.lanes[prompt.organisation].tokens_before(prompt)
        reach = usage.scaled(prompt.organisation) + usage.scale(before, now)
        unit = usage.scale(1.0, now)
        total = before
        for organisation, lane in self.lanes.items():
            if organisation == prompt.organisation:
                continue
            first = lane.prompts[0]
            gap = (reach - usage.scaled(organisation)) / unit
            if gap < 0 or (gap == 0 and first.arrived_at > prompt.arrived_at):
                continue
            grants = max(1, math.ceil(gap / first.tokens))
            total += min(lane.tokens, grants * first.tokens)
        return total


class WaitingPrompts:
    """The waiting prompts of one engine; ``tokens`` is their sum.

    ``usage`` is the :class:`.prefill_usage.DecayedUsage` of the engine.
    """

    __slots__ = ("tokens", "_usage", "_groups", "_checked_at")

    def __init__(self, usage, now):
        self.tokens = 0
        self._usage = usage
        # By step and whether the prompts are late, so that the order of the
        # keys is that of the groups.
        self._groups = {}
        self._checked_at = now

    def __bool__(self):
        return bool(self._groups)

    def add(self, prompt, pace, now):
        """Enter a prompt."""
        prompt.is_late = not prompt.can_meet_target(pace, now)
        self._insert(prompt)

    def remove(self, prompt):
        """Remove a prompt that was granted or has ended."""
        key = (prompt.step, prompt.is_late)
        group = self._groups[key]
        group.remove(prompt)
        if not group.lanes:
            del self._groups[key]
        self.tokens -= prompt.tokens

    def _insert(self, prompt):
        key = (prompt.step, prompt.is_late)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
        group.add(prompt)
        self.tokens += prompt.tokens

    def first_step(self):
        """Return the most urgent step of which a prompt waits."""
        return min(self._groups)[0]

    def last_step(self):
        """Return the least urgent step of which a prompt waits."""
        return max(self._groups)[0]

    def head(self, step, pace, now):
        """Return the first prompt of a step of which some wait."""
        while (step, False) in self._groups:
            prompt = self._groups[step, False].head(self._usage)
            if prompt.can_meet_target(pace, now):
                return prompt
            self._move(prompt)
        return self._groups[step, True].head(self._usage)

    def ahead(self, prompt, now):
        """Return about how many waiting tokens come before a prompt."""
        own = (prompt.step, prompt.is_late)
        total = self._groups[own].ahead(prompt, self._usage, now)
        for key, group in self._groups.items():
            if key < own:
                total += group.tokens
        return total

    def recheck(self, pace, now):
        """Check at times which prompts can still meet their targets.

        A prompt that could not may be able to again when the pace rises.
        """
        if now - self._checked_at < RECHECK_SECONDS:
            return
        self._checked_at = now
        changed = [
            prompt
            for group in self._groups.values()
            for lane in group.lanes.values()
            for prompt in lane.prompts
            if prompt.can_meet_target(pace, now) == prompt.is_late
        ]
        for prompt in changed:
            self._move(prompt)

    def _move(self, prompt):
        self.remove(prompt)
        prompt.is_late = not prompt.is_late
        self._insert(prompt)
