"""The prefill queue of one engine, as its holder keeps it.

Instances ask before they send a long prompt.  The holder grants a prompt once
the engine has room for it, in the order of :mod:`.prefill_order`.  What waits
or was granted is renewed by its instance and dropped if it is not; so lost
messages and instances that end leave nothing behind.
"""

import msgspec

from ..coordination import prefill_messages
from . import ended_prompts
from . import prefill_order
from . import prefill_outstanding
from . import prefill_turns
from . import prefill_usage
from . import prompt_group

# What was not renewed for this long is dropped.  Instances renew every half
# second.
ASK_TTL_SECONDS = 1.5
# A queue that nobody has used for this long may be dropped.
IDLE_SECONDS = 60.0


class Issued(msgspec.Struct):
    """A grant and the instance that it is for."""

    asker: object
    number: int


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
        self._usage = prefill_usage.DecayedUsage(now)
        # Those that wait and those that are outstanding, by instance and
        # number.
        self._prompts = {}
        self._outstanding = prefill_outstanding.OutstandingPrompts(
            typical_pace, now
        )
        self._waiting = prefill_order.WaitingPrompts(
            self._usage, self._outstanding, now
        )
        self._ended = ended_prompts.EndedPrompts()
        self._turns = prefill_turns.Turns(self._waiting, self._outstanding)
        self._used_at = now

    @property
    def typical_pace(self):
        return self._outstanding.typical_pace

    @typical_pace.setter
    def typical_pace(self, pace):
        self._outstanding.typical_pace = pace

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
        elif not self._ended.is_outdated(key, ask.waited, now):
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

    def _enter(self, key, asker, ask, now):
        prompt = prompt_group.Prompt(
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
            self._set_granted(key, prompt, False, now)
        else:
            self._waiting.add(prompt, now)

    def _renew(self, key, prompt, ask, now):
        prompt.expires_at = now + ASK_TTL_SECONDS
        # A message that took long makes a target appear later than it is.
        prompt.target_at = min(prompt.target_at, now + ask.target_left)
        if prompt.granted_at is None:
            if ask.granted:
                self._waiting.remove(prompt)
                self._set_granted(key, prompt, False, now)
        elif not ask.granted:
            self._outstanding.grant_again(prompt, now)

    def end(self, asker, number, prefilled, now):
        """Remove a prompt that was prefilled, or that will not be."""
        if not self._is_current(asker):
            return
        self._used_at = now
        key = (asker.instance, number)
        prompt = self._prompts.get(key)
        if prompt is None:
            self._ended.add_unknown(key, now)
            return
        if prompt.granted_at is not None:
            self._settle(prompt, prefilled, now)
        self._remove(key, prompt)
        self._ended.add(key, prompt.arrived_at, now)

    def _settle(self, prompt, prefilled, now):
        """Learn from a granted prompt, or refund its organisation."""
        if prefilled:
            self._outstanding.learn(prompt, now)
            return
        self._usage.refund(
            prompt.organisation, prompt.tokens, prompt.granted_at, now
        )

    def _remove(self, key, prompt):
        del self._prompts[key]
        if prompt.granted_at is None:
            self._waiting.remove(prompt)
        else:
            self._outstanding.remove(key)

    def issue(self, now):
        """Grant what the engine has room for; return the grants."""
        issued = []
        if not self._waiting:
            return issued
        self._waiting.recheck(now)
        while self._waiting:
            prompt = self._turns.next(self.least_urgent_step, now)
            if prompt is None:
                break
            self._grant(prompt, now)
            issued.append(Issued(prompt.asker, prompt.number))
        return issued

    def _grant(self, prompt, now):
        self._waiting.remove(prompt)
        self._turns.granted(prompt.step)
        key = (prompt.asker.instance, prompt.number)
        self._set_granted(key, prompt, True, now)

    def _set_granted(self, key, prompt, measured, now):
        self._outstanding.add(key, prompt, measured, now)
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
        if prompt is not None and prompt.asker != asker:
            # The ask is of an earlier start of the instance.
            prompt = None
        granted = prompt is not None and prompt.granted_at is not None
        ahead = 0
        if prompt is not None and not granted:
            ahead = self._waiting.ahead(prompt, now)
            ahead += self._outstanding.tokens_up_to(prompt.step)
        return prefill_messages.PrefillGrant(
            self._server,
            self.epoch,
            number,
            granted,
            True,
            ahead,
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
        self._ended.remove_expired(now)

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
        self._ended.forget_asker(instance)

    def pace(self, now):
        """Return how many tokens a second the engine prefills."""
        return self._outstanding.pace(now)

    def known_pace(self, now):
        """Return the pace, or ``None`` while nothing has been measured."""
        return self.pace(now) if self._outstanding.has_known_pace() else None

    def backlog(self):
        """Return the tokens of all prompts that wait or are outstanding."""
        return self._waiting.tokens + self._outstanding.tokens

    def is_idle(self, now):
        """Return whether nobody has used the queue for a while."""
        return not self._prompts and now - self._used_at > IDLE_SECONDS
