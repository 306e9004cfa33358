"""Sends orders to engines, under the lease of the ordering instance."""

import msgspec

from dandeliontrail import events

from . import leased_call

PATH = "/v1/orders"
HEADERS = {"Content-Type": "application/json"}


class OrderBody(msgspec.Struct, omit_defaults=True):
    """The JSON body of an order."""

    order: str
    kind: str
    fencing: int
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderClient:
    """Executes :class:`dandeliontrail.effects.GiveOrder`."""

    def __init__(self, lease, clock, submit):
        self._leased_call = leased_call.LeasedCall(lease, clock)
        self._submit = submit

    def give(self, effect):
        """Send one order and submit its answer as an event."""
        answer, detail = self._send(effect)
        self._submit(
            events.OrderAnswered(
                effect.order.key, effect.fencing, answer, detail
            )
        )

    def _send(self, effect):
        try:
            status, text = self._leased_call.post(
                effect.url,
                effect.fencing,
                effect.checks_fencing,
                PATH,
                _body(effect),
                HEADERS,
            )
        except leased_call.MayNotCall:
            return events.OrderAnswer.NOT_SENT, "lease"
        except leased_call.FAILURES as exc:
            kind = events.OrderAnswer.NO_ANSWER
            return kind, f"{type(exc).__name__}: {exc}"
        return _answer(status, text)


def _answer(status, text):
    if status in (200, 202):
        return events.OrderAnswer.ACCEPTED, ""
    if status == 409 and b"stale_fencing" in text:
        return events.OrderAnswer.STALE_FENCING, ""
    if 400 <= status < 500:
        return events.OrderAnswer.REFUSED, text[:200].decode()
    return events.OrderAnswer.NO_ANSWER, str(status)


def _body(effect):
    order = effect.order
    return msgspec.json.encode(
        OrderBody(
            order.key,
            order.kind.value,
            effect.fencing,
            order.model,
            order.version,
            order.adapter,
            order.role,
        )
    )
