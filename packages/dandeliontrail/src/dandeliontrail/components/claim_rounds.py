"""What the claims of requests and the requests tell each other."""

import abc

import msgspec


class Listener(abc.ABC):
    """Learns what came of a request's claim; each returns effects."""

    @abc.abstractmethod
    def claim_granted(self, request_id, now):
        """The request, and no other, may run its key."""

    @abc.abstractmethod
    def claim_unneeded(self, request_id, now):
        """No claim can be had, and the request may be repeated anyway."""

    @abc.abstractmethod
    def claim_answered(self, request_id, answer, now):
        """Another request with the key has the whole answer."""

    @abc.abstractmethod
    def claim_refused(self, request_id, nothing, ran, now):
        """There is no answer; ``ran`` where the key may have been run."""


class Wanted(msgspec.Struct):
    """A request that asks for its key; ``deadline`` as its work has it."""

    request_id: str
    key: str
    digest: str
    repeatable: bool
    deadline: float


class Round(msgspec.Struct):
    """How far a request is in getting its key.

    ``claim`` is its own while it counts votes, and that of another request
    (at ``holder``) while it follows that one.
    """

    wanted: Wanted
    tries: int = 0
    claim: str = ""
    following: bool = False
    holder: str = ""
    holder_address: str = ""
    holder_digest: str = ""
    votes: dict = msgspec.field(default_factory=dict)
    until: float = 0.0
    next_send: float = 0.0
    heard: float = 0.0
