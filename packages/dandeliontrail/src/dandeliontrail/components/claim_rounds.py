"""The interface between the claims component and the request component."""

import abc

import msgspec


class Listener(abc.ABC):
    """Receives the results of claims; each method returns effects."""

    @abc.abstractmethod
    def claim_granted(self, request_id, now):
        """The claim was granted: only this request may run its key."""

    @abc.abstractmethod
    def claim_unavailable(self, request_id, now):
        """No claim can be obtained, but the request is repeatable."""

    @abc.abstractmethod
    def claim_answered(self, request_id, answer, now):
        """Another request with the key completed with ``answer``."""

    @abc.abstractmethod
    def claim_refused(self, request_id, nothing, may_have_run, now):
        """No answer is available.

        ``may_have_run`` tells whether the key may have run.
        """


class ClaimRequest(msgspec.Struct):
    """A request that wants to claim its idempotency key.

    ``digest`` identifies the request body; ``deadline`` is that of the
    request's work, in seconds on this instance's clock.
    """

    request_id: str
    key: str
    digest: str
    repeatable: bool
    deadline: float


class ClaimRound(msgspec.Struct):
    """The progress of a request towards its key.

    While votes are counted, ``claim`` is the request's own claim.  While
    ``following``, it is the claim of another request, at the instance
    ``holder``.  ``until`` is when the votes must be in, ``next_send`` when the
    next message is due and ``heard`` when the holder last replied.
    """

    wanted: ClaimRequest
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
