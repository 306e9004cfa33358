"""Messages by which instances share the prefill queue of a model engine.

An instance that wants to send a long prompt to an engine asks the *holder* of
the engine's prefill queue, which grants it once the engine has room.  The
instance reports the end of the prefill.  Messages may be lost, late or
duplicated: asks and ends are identified by a number, and what waits or was
granted is renewed until it has ended.
"""

import msgspec


class PrefillAsk(msgspec.Struct, array_like=True):
    """Asks to send a prompt of which an engine has to prefill ``tokens``.

    ``epoch`` is that of the server's start.  ``number`` identifies the prompt
    within one start of the sender.  ``step`` is the priority step of its
    route, 0 for the most urgent.  ``waited`` is the time in seconds since the
    request was received, ``target_left`` that until its target for the first
    token, negative if it has passed.  ``granted`` is true in the renewal of a
    prompt that was granted.
    """

    server: str
    epoch: int
    number: int
    tokens: int
    step: int
    organisation: str
    waited: float
    target_left: float
    granted: bool = False


class PrefillEnd(msgspec.Struct, array_like=True):
    """Ends an ask: the engine has prefilled the prompt, or will not."""

    server: str
    number: int
    prefilled: bool


class PrefillAsks(msgspec.Struct, tag="prefill_asks"):
    """New and renewed asks, and ends, for the queues of one holder."""

    asks: list[PrefillAsk] = []
    ends: list[PrefillEnd] = []


class PrefillGrant(msgspec.Struct, array_like=True):
    """The answer to the ask ``number``.

    ``granted`` is false while the prompt waits.  ``holding`` is false if the
    sender does not hold the queue of that start of the server.  ``ahead`` is
    the number of tokens to be prefilled before the prompt, ``backlog`` that
    of the whole queue, and ``pace`` the engine's tokens per second.
    """

    server: str
    epoch: int
    number: int
    granted: bool
    holding: bool = True
    ahead: int = 0
    backlog: int = 0
    pace: int = 0


class PrefillGrants(msgspec.Struct, tag="prefill_grants"):
    """Answers to the asks of one instance."""

    grants: list[PrefillGrant]


MESSAGES = (PrefillAsks, PrefillGrants)
