"""Decides which waiting prompt an engine gets next, and when.

The first prompt is never overtaken by a later one that is small enough, so
that large prompts are not starved.
"""

import collections

# The least urgent waiting prompt is next if none of this many grants went to
# its step, so that each step is served eventually.
MAX_PASSED_OVER = 19


class Turns:
    """Chooses among the waiting prompts of one engine.

    They are :class:`.prefill_order.WaitingPrompts`, and the outstanding ones
    :class:`.prefill_outstanding.OutstandingPrompts`.
    """

    __slots__ = ("_waiting", "_outstanding", "_recent")

    def __init__(self, waiting, outstanding):
        self._waiting = waiting
        self._outstanding = outstanding
        # The steps of the last grants.
        self._recent = collections.deque(maxlen=MAX_PASSED_OVER)

    def granted(self, step):
        """Enter that a prompt of a step was granted."""
        self._recent.append(step)

    def next(self, least_urgent_step, now):
        """Return the next prompt, or ``None`` if there is no room for it.

        The least urgent prompt that was passed over takes the room of the
        prompt that would be next, so that this one need not wait until the
        engine has room for the least urgent step.
        """
        first = self._waiting.first_step()
        last = self._waiting.last_step()
        step = last if self._is_passed_over(last) else first
        prompt = self._waiting.head(step, now)
        steps_above = max(0, least_urgent_step - first)
        pace = self._outstanding.pace(now)
        has_room = self._outstanding.has_room(
            prompt.tokens, first, steps_above, pace
        )
        return prompt if has_room else None

    def _is_passed_over(self, step):
        """Return whether a prompt of a step is next whatever else waits.

        An engine that prefills by priority may have left the one before
        waiting; more of them would not help.
        """
        return (
            len(self._recent) == MAX_PASSED_OVER
            and step not in self._recent
            and not self._outstanding.has_step(step)
        )
