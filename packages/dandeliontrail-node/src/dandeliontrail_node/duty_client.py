"""Makes the calls to the platform that are one instance's at a time."""

import abc

import gevent
import msgspec

from dandeliontrail import events

from . import leased_call

ANSWERS = events.DutyAnswer
TOO_MANY = 429


class DutyRequest(msgspec.Struct):
    """A call as the platform reads it."""

    path: str
    body: bytes
    headers: dict


class DutyDialect(abc.ABC):
    """Writes calls as a platform reads them, under its own names."""

    @abc.abstractmethod
    def request(self, call, fencing):
        """Return the :class:`DutyRequest` of a call."""


class DutyClient:
    """Carries out :class:`dandeliontrail.effects.PerformDuty`."""

    def __init__(self, host, url, dialect):
        duties = host.state.duties
        self._checks_fencing = duties.options.checks_fencing
        self._calls = leased_call.LeasedCall(duties.lease, host.clock)
        self._submit = host.submit
        self._counters = host.metrics.counters
        self._url = url
        self._dialect = dialect

    def perform(self, effect):
        """Make one call and submit its answer as an event."""
        answer, detail = self._send(effect)
        name = f'platform_calls_total{{answer="{answer.value}"}}'
        self._counters[name] += 1
        self._submit(
            events.DutyAnswered(effect.call, effect.fencing, answer, detail)
        )

    def _send(self, effect):
        request = self._dialect.request(effect.call, effect.fencing)
        try:
            status, text = self._calls.post(
                self._url,
                effect.fencing,
                self._checks_fencing,
                request.path,
                request.body,
                request.headers,
            )
        except leased_call.MayNotCall:
            return ANSWERS.NOT_SENT, "lease"
        except (Exception, gevent.Timeout) as exc:
            # Whatever went wrong, the reducer must hear of the end of the
            # call: it makes no other one before.
            return ANSWERS.NO_ANSWER, f"{type(exc).__name__}: {exc}"
        return _answer(status), f"{status} {text[:200].decode('latin-1')}"


def _answer(status):
    if 200 <= status < 300:
        return ANSWERS.TAKEN
    if status == TOO_MANY:
        return ANSWERS.BUSY
    if 400 <= status < 500:
        return ANSWERS.REFUSED
    return ANSWERS.NO_ANSWER
