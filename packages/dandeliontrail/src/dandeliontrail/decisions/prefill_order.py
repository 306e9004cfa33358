"""The prompts that wait for an engine, in the order in which it takes them.

They are ordered by priority step; then those that can meet their target come
before those that cannot; then by what their organisation was recently granted
at this engine; then by arrival.  The next prompt is looked for among the first
ones of the organisations, so this costs the same however long the queue is.
"""

from . import prompt_group

# Time in seconds for the messages between the grant and the first token.
MESSAGE_SECONDS = 0.02
# How often all prompts are checked for whether they can meet their target.
# The first one is checked each time.
RECHECK_SECONDS = 0.1


class WaitingPrompts:
    """The waiting prompts of one engine; ``tokens`` is their sum.

    ``usage`` is the :class:`.prefill_usage.DecayedUsage` of the engine, and
    ``outstanding`` its :class:`.prefill_outstanding.OutstandingPrompts`.
    """

    __slots__ = ("tokens", "_usage", "_outstanding", "_groups", "_checked_at")

    def __init__(self, usage, outstanding, now):
        self.tokens = 0
        self._usage = usage
        self._outstanding = outstanding
        # By step and whether the prompts are late, so that the order of the
        # keys is that of the groups.
        self._groups = {}
        self._checked_at = now

    def __bool__(self):
        return bool(self._groups)

    def add(self, prompt, now):
        """Enter a prompt."""
        pace = self._outstanding.pace(now)
        start = self._start(prompt.step, pace, now)
        prompt.is_late = not prompt.can_meet_target(pace, start)
        self._insert(prompt)

    def _start(self, step, pace, now):
        """Return when the prefill of a prompt granted now would start.

        Without what is outstanding, an overloaded engine would get prompts
        that just miss their targets: one in seven in a simulation at 2.3 times
        its capacity.
        """
        tokens = self._outstanding.tokens_up_to(step)
        return now + tokens / pace + MESSAGE_SECONDS

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
            group = self._groups[key] = prompt_group.PromptGroup()
        group.add(prompt)
        self.tokens += prompt.tokens

    def first_step(self):
        """Return the most urgent step of which a prompt waits."""
        return min(self._groups)[0]

    def last_step(self):
        """Return the least urgent step of which a prompt waits."""
        return max(self._groups)[0]

    def head(self, step, now):
        """Return the first prompt of a step of which some wait."""
        pace = self._outstanding.pace(now)
        start = self._start(step, pace, now)
        while (step, False) in self._groups:
            prompt = self._groups[step, False].head(self._usage)
            if prompt.can_meet_target(pace, start):
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

    def recheck(self, now):
        """Check at times which prompts can still meet their targets.

        A prompt that could not may be able to again when the pace rises.
        """
        if now - self._checked_at < RECHECK_SECONDS:
            return
        self._checked_at = now
        pace = self._outstanding.pace(now)
        changed = []
        for (step, is_late), group in self._groups.items():
            start = self._start(step, pace, now)
            for lane in group.lanes.values():
                changed += [
                    prompt
                    for prompt in lane
                    if prompt.can_meet_target(pace, start) == is_late
                ]
        for prompt in changed:
            self._move(prompt)

    def _move(self, prompt):
        self.remove(prompt)
        prompt.is_late = not prompt.is_late
        self._insert(prompt)
