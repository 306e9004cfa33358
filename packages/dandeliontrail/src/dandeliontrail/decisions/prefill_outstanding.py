"""The prompts that an engine was granted and has not prefilled.

They bound what else it is granted, and measure its pace.
"""

import collections

from . import prefill_pace

# How long the engine may need for the outstanding prompts of the least urgent
# step; each more urgent step has as much more.
ROOM_SECONDS = 0.25


class OutstandingPrompts:
    """The outstanding prompts of one engine; ``tokens`` is their sum."""

    __slots__ = (
        "tokens",
        "_estimate",
        "_prompts",
        "_by_step",
        "_last_end",
        "_pace",
        "_pace_at",
    )

    def __init__(self, typical_pace, now):
        self.tokens = 0
        self._estimate = prefill_pace.PaceEstimate(typical_pace)
        # By instance and number, in the order of the grants.
        self._prompts = {}
        # Sums of tokens.
        self._by_step = collections.Counter()
        self._last_end = now
        # The pace at one time, as all asks of a batch are answered with it;
        # ``None`` after a change.
        self._pace = None
        self._pace_at = now

    @property
    def typical_pace(self):
        return self._estimate.typical

    @typical_pace.setter
    def typical_pace(self, pace):
        self._estimate.typical = pace
        self._pace = None

    def has_known_pace(self):
        """Return whether a prompt has been measured."""
        return self._estimate.is_known

    def add(self, key, prompt, measured, now):
        """Enter a prompt that is granted now.

        It is ``measured`` if its instance learns of the grant at once.
        """
        prompt.granted_at = now
        prompt.began_at = now
        prompt.measured = measured
        self._pace = None
        self._prompts[key] = prompt
        self._by_step[prompt.step] += prompt.tokens
        self.tokens += prompt.tokens

    def grant_again(self, prompt, now):
        """Enter that the instance has not received the grant until now."""
        prompt.began_at = now
        prompt.measured = False
        self._pace = None

    def remove(self, key):
        """Remove a prompt."""
        self._pace = None
        prompt = self._prompts.pop(key)
        self._by_step[prompt.step] -= prompt.tokens
        self.tokens -= prompt.tokens

    def learn(self, prompt, now):
        """Learn from a prompt that has been prefilled.

        Ends without a prefill are not learnt from: most are of prompts that
        were never sent, so the engine worked on another one meanwhile.
        """
        if prompt.measured:
            began = max(prompt.began_at, self._last_end)
            self._estimate.add(prompt.tokens, now - began)
        self._last_end = now
        self._pace = None

    def has_step(self, step):
        """Return whether a prompt of a step is outstanding."""
        return self._by_step[step] > 0

    def tokens_up_to(self, step):
        """Return the tokens of a step and of more urgent ones."""
        total = 0
        for other, tokens in self._by_step.items():
            if other <= step:
                total += tokens
        return total

    def has_room(self, tokens, step, steps_above, pace):
        """Return whether a prompt may be added.

        ``steps_above`` is how far its step is above the least urgent one.
        """
        if not self._prompts:
            return True
        total = tokens + self.tokens_up_to(step)
        return total <= pace * ROOM_SECONDS * (1 + steps_above)

    def pace(self, now):
        """Return how many tokens a second the engine prefills."""
        if self._pace is None or now != self._pace_at:
            self._pace = self._pace_now(now)
            self._pace_at = now
        return self._pace

    def _pace_now(self, now):
        if not self._prompts:
            return self._estimate.value()
        oldest = next(iter(self._prompts.values()))
        # Engines prefill more urgent prompts first.
        tokens = oldest.tokens + self.tokens_up_to(oldest.step - 1)
        began = max(oldest.began_at, self._last_end)
        return self._estimate.value_while(tokens, now - began)
