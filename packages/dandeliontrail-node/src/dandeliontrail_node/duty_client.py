"""Makes the calls to the platform that only one instance may make."""

import abc

import gevent
import msgspec

from dandeliontrail import events

from . import leased_call

DutyAnswer = events.DutyAnswer
TOO_MANY_REQUESTS = 429


class DutyRequest(msgspec.Struct):
    """The HTTP request of a call."""

    path: str
    body: bytes
    headers: dict


class DutyRequestEncoder(abc.ABC):
    """Encodes calls as HTTP requests in the format of a platform."""

    @abc.abstractmethod
    def request(self, call, fencing):
        """Return the :class:`DutyRequest` of a call."""


class DutyClient:
    """Executes :class:`dandeliontrail.effects.PerformDuty`."""

    def __init__(self, host, url, dialect):
        duties = host.state.duties
        self._checks_fencing = duties.options.checks_fencing
        self._leased_call = leased_call.LeasedCall(duties.lease, host.clock)
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
            status, text = self._leased_call.post(
                self._url,
                effect.fencing,
                self._checks_fencing,
                request.path,
                request.body,
                request.headers,
            )
        except leased_call.MayNotCall:
            return DutyAnswer.NOT_SENT, "lease"
        except (Exception, gevent.Timeout) as exc:
            # Whatever the failure, the reducer must be notified that the
            # call has ended, since it makes the next call only then.
            return DutyAnswer.NO_ANSWER, f"{type(exc).__name__}: {exc}"
        return _answer(status), f"{status} {text[:200].decode('latin-1')}"


def _answer(status):
    if 200 <= status < 300:
        return DutyAnswer.TAKEN
    if status == TOO_MANY_REQUESTS:
        return DutyAnswer.BUSY
    if 400 <= status < 500:
        return DutyAnswer.REFUSED
    return DutyAnswer.NO_ANSWER
