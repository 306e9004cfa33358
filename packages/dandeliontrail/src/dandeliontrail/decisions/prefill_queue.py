"""The prefill queue of one engine, as its holder keeps it.

Instances ask before they send a long prompt.  The holder grants a prompt once
the engine has room for it, in the order of :mod:`.prefill_order`.  What waits
or was granted is renewed by its instance and dropped if it is not; so lost
messages and instances that end leave nothing behind.
"""

import collections

import msgspec

from ..coordination import prefill_messages
from . import prefill_order
from . import prefill_pace
from . import prefill_usage

# What was not renewed for this long is dropped.  Instances renew every half
# second.
ASK_TTL_SECONDS = 1.5
# An ask that an end overtook is ignored for this long; a prompt that is asked
# for anew enters with its renewal.
OVERTAKEN_SECONDS = 0.5
# Numbers of ended prompts are remembered for this long, for late copies of
# their asks.
ENDED_TTL_SECONDS = 3.0
# How long the engine may need for the outstanding prompts of the least urgent
# step; each more urgent step has as much more.
ROOM_SECONDS = 0.25
# The least urgent waiting prompt is next if none of this many grants went to
# its step, so that each step is served eventually.
MAX_PASSED_OVER = 19
# A queue that nobody has used for this long may be dropped.
IDLE_SECONDS = 60.0


class Issued(msgspec.Struct):
    """A grant and the instance that it is for."""

    asker: object
    number: int


class _Ended(msgspec.Struct):
    """An ended prompt; ``arrived_at`` is ``None`` if it was not known."""

    arrived_at: float | None
    ended_at: float


class PrefillQueue:
    """The prompts that all instances want to send to one engine.

    An asker is a :class:`.permit_issuer.Asker`.  ``typical_pace`` (tokens per
    second) and ``least_urgent_step`` (of the service) may be set at any time.
    """

    def __init__(self, epoch, now, typical_pace, least_urgent_step=0):
        self.least_urgent_step = least_urgent_step
        # By instance.
        self._incarnations = {}
        self._server = ""
        # Epochs of asks that are too old, until they are answered.
        self._outdated = {}
        self._start(epoch, now, typical_pace)

    def _start(self, epoch, now, typical_pace):
        self.epoch = epoch
        self._estimate = prefill_pace.PaceEstimate(typical_pace)
        self._usage = prefill_usage.DecayedUsage(now)
        # By instance and number.
        self._prompts = {}
        self._waiting = prefill_order.WaitingPrompts(self._usage, now)
        # The granted prompts in the order of their grants, and the sums of
        # their tokens by step.
        self._outstanding = {}
        self._outstanding_tokens = collections.Counter()
        self._ended = {}
        # The steps of the last grants.
        self._recent = collections.deque(maxlen=MAX_PASSED_OVER)
        self._last_end = now
        self._used_at = now

    @property
    def typical_pace(self):
        return self._estimate.typical

    @typical_pace.setter
    def typical_pace(self, pace):
        self._estimate.typical = pace

    def __len__(self):
        """Return how many prompts wait or are outstanding."""
        return len(self._prompts)

    def ask(self, asker, ask, now):
        """Enter an ask, or renew it."""
        self._server = ask.server
        key = (asker.instance, ask.number)
        if ask.epoch < self.epoch:
            self._outdated[key] = ask.epoch
            return
        if ask.epoch > self.epoch:
            self._start(ask.epoch, now, self.typical_pace)
        if not self._is_current(asker):
            return
        self._used_at = now
        prompt = self._prompts.get(key)
        if prompt is not None:
            self._renew(key, prompt, ask, now)
        elif not self._has_ended(key, ask, now):
            self._enter(key, asker, ask, now)

    def _is_current(self, asker):
        """Return whether an asker has not been replaced by a newer start."""
        known = self._incarnations.get(asker.instance)
        if known is not None and asker.incarnation < known:
            return False
        if known is not None and asker.incarnation > known:
            self.forget_asker(asker.instance)
        self._incarnations[asker.instance] = asker.incarnation
        return True

    def _has_ended(self, key, ask, now):
        """Return whether an ask was sent before the end of its prompt."""
        ended = self._ended.get(key)
        if ended is None:
            return False
        if ended.arrived_at is None:
            return now - ended.ended_at < OVERTAKEN_SECONDS
        return ended.arrived_at + ask.waited < ended.ended_at

    def _enter(self, key, asker, ask, now):
        prompt = prefill_order.Prompt(
            asker,
            ask.number,
            max(1, ask.tokens),
            ask.step,
            ask.organisation,
            now - ask.waited,
            now + ask.target_left,
            now + ASK_TTL_SECONDS,
        )
        self._prompts[key] = prompt
        if ask.granted:
            # Another holder has granted it, at an unknown time.
            prompt.measured = False
            self._set_granted(key, prompt, now)
        else:
            self._waiting.add(prompt, self.pace(now), now)

    def _renew(self, key, prompt, ask, now):
        prompt.expires_at = now + ASK_TTL_SECONDS
        # A message that took long makes a target appear later than it is.
        prompt.target_at = min(prompt.target_at, now + ask.target_left)
        if prompt.granted_at is None:
            if ask.granted:
                self._waiting.remove(prompt)
                prompt.measured = False
                self._set_granted(key, prompt, now)
        elif not ask.granted:
            # Its instance has not received the grant and gets it again.
            prompt.began_at = now
            prompt.measured = False

    def end(self, asker, number, prefilled, now):
        """Remove a prompt that was prefilled, or that will not be."""
        if not self._is_current(asker):
            return
        self._used_at = now
        key = (asker.instance, number)
        prompt = self._prompts.get(key)
        if prompt is None:
            if key not in self._ended:
                self._ended[key] = _Ended(None, now)
            return
        if prompt.granted_at is not None:
            self._learn(prompt, prefilled, now)
        self._remove(key, prompt)
        self._ended.pop(key, None)
        self._ended[key] = _Ended(prompt.arrived_at, now)

    def _learn(self, prompt, prefilled, now):
        if not prefilled:
            self._usage.refund(
                prompt.organisation, prompt.tokens, prompt.granted_at, now
            )
            return
        if prompt.measured:
            began = max(prompt.began_at, self._last_end)
            self._estimate.add(prompt.tokens, now - began)
        self._last_end = now

    def _remove(self, key, prompt):
        del self._prompts[key]
        if prompt.granted_at is None:
            self._waiting.remove(prompt)
            return
        del self._outstanding[key]
        self._outstanding_tokens[prompt.step] -= prompt.tokens

    def issue(self, now):
        """Grant what the engine has room for; return the grants."""
        issued = []
        if not self._waiting:
            return issued
        pace = self.pace(now)
        self._waiting.recheck(pace, now)
        while self._waiting:
            prompt, step = self._next(pace, now)
            if not self._has_room(prompt.tokens, step, pace):
                break
            self._grant(prompt, now)
            issued.append(Issued(prompt.asker, prompt.number))
        return issued

    def _next(self, pace, now):
        """Return the next prompt, and the step of which it takes the room.

        The least urgent prompt that was passed over takes the room of the
        prompt that would be next, so that this one need not wait until the
        engine has room for the least urgent step.
        """
        first = self._waiting.first_step()
        last = self._waiting.last_step()
        is_passed_over = (
            len(self._recent) == MAX_PASSED_OVER and last not in self._recent
        )
        step = last if is_passed_over else first
        return self._waiting.head(step, pace, now), first

    def _has_room(self, tokens, step, pace):
        if not self._outstanding:
            return True
        steps_above = max(0, self.least_urgent_step - step)
        total = tokens + self._outstanding_up_to(step)
        return total <= pace * ROOM_SECONDS * (1 + steps_above)

    def _outstanding_up_to(self, step):
        """Return the outstanding tokens of a step and more urgent ones."""
        return sum(
            tokens
            for other, tokens in self._outstanding_tokens.items()
            if other <= step
        )

    def _grant(self, prompt, now):
        self._waiting.remove(prompt)
        self._recent.append(prompt.step)
        key = (prompt.asker.instance, prompt.number)
        self._set_granted(key, prompt, now)

    def _set_granted(self, key, prompt, now):
        prompt.granted_at = now
        prompt.began_at = now
        self._outstanding[key] = prompt
        self._outstanding_tokens[prompt.step] += prompt.tokens
        self._usage.charge(prompt.organisation, prompt.tokens, now)

    def answer(self, asker, number, now):
        """Return the :class:`.prefill_messages.PrefillGrant` for an ask."""
        key = (asker.instance, number)
        epoch = self._outdated.pop(key, None)
        if epoch is not None:
            return prefill_messages.PrefillGrant(
                self._server, epoch, number, granted=False, holding=False
            )
        prompt = self._prompts.get(key)
        granted = prompt is not None and prompt.granted_at is not None
        ahead = 0
        if prompt is not None and not granted:
            ahead = self._waiting.ahead(prompt, now)
            ahead += self._outstanding_up_to(prompt.step)
        return prefill_messages.PrefillGrant(
            self._server,
            self.epoch,
            number,
            granted,
            True,
            int(ahead),
            self.backlog(),
            max(1, int(self.pace(now))),
        )

    def remove_expired(self, now):
        """Drop what its instances have not renewed."""
        expired = [
            (key, prompt)
            for key, prompt in self._prompts.items()
            if now > prompt.expires_at
        ]
        for key, prompt in expired:
            self._remove(key, prompt)
        self._outdated.clear()
        while self._ended:
            key = next(iter(self._ended))
            if now - self._ended[key].ended_at < ENDED_TTL_SECONDS:
                break
            del self._ended[key]

    def forget_asker(self, instance, incarnation=None):
        """Drop the prompts of an instance.

        With ``incarnation``, keep those of a newer start.
        """
        known = self._incarnations.get(instance)
        if None not in (known, incarnation) and known > incarnation:
            return
        self._incarnations.pop(instance, None)
        for key in [key for key in self._prompts if key[0] == instance]:
            self._remove(key, self._prompts[key])
        for key in [key for key in self._ended if key[0] == instance]:
            del self._ended[key]

    def pace(self, now):
        """Return how many tokens a second the engine prefills."""
        if not self._outstanding:
            return self._estimate.value()
        oldest = next(iter(self._outstanding.values()))
        # Engines prefill more urgent prompts first.
        tokens = oldest.tokens + self._outstanding_up_to(oldest.step - 1)
        began = max(oldest.began_at, self._last_end)
        return self._estimate.value_while(tokens, now - began)

    def known_pace(self, now):
        """Return the pace, or ``None`` while nothing has been measured."""
        return self.pace(now) if self._estimate.is_known else None

    def backlog(self):
        """Return the tokens of all prompts that wait or are outstanding."""
        return self._waiting.tokens + sum(self._outstanding_tokens.values())

    def is_idle(self, now):
        """Return whether nobody has used the queue for a while."""
        return not self._prompts and now - self._used_at > IDLE_SECONDS
