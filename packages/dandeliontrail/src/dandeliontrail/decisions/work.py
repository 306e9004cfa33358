"""The unit that decisions are about."""

import msgspec


class Work(msgspec.Struct):
    """One request as the decisions see it.

    ``received`` and ``deadline`` are on the clock of this instance;
    ``avoid`` names the servers on which an attempt failed already,
    ``turned_away`` those of them that did not begin it while another server
    was silent.
    ``predicted_tokens`` is the expected output length, zero if unknown.
    ``parts`` are those of the prompt, in order, as ``(name, tokens)``; the
    last one is the request's own.  ``max_attempts`` bounds the servers that
    it may reach, zero leaves that to the node; ``routed`` tells that a route
    and not a class decided all this.  ``start_priority`` is what a model
    engine is told, ``route_priority`` the route's own step in it.
    ``fingerprint`` stands for who sends it, where to, and its body: what
    stays where it is sent once more with another id.
    ``limits`` are those of the organisation, ``class_limits`` those of each
    organisation in the class (``resources.specs.Limits``).
    """

    request_id: str
    organisation: str
    class_name: str
    model: str
    service: str
    priority: int
    received: float
    deadline: float
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    predicted_tokens: int = 0
    prefix_hash: str = ""
    sheddable: bool = False
    repeatable: bool = True
    minimum_share: float = 0.0
    weight: float = 1.0
    first_token_ms: float | None = None
    total_ms: float | None = None
    between_tokens_ms: float | None = None
    limits: object = None
    class_limits: object = None
    parts: tuple = ()
    max_attempts: int = 0
    routed: bool = False
    streamed: bool = False
    start_priority: int = 0
    route_priority: int = 0
    fingerprint: str = ""
    avoid: set = msgspec.field(default_factory=set)
    turned_away: set = msgspec.field(default_factory=set)

    def ask_again(self):
        """Avoid no longer what turned the work away; it may have room now."""
        self.avoid -= self.turned_away
        self.turned_away.clear()


class Grounds(msgspec.Struct):
    """What a decision went by, for whoever asks for its reason later.

    ``need`` is what the server would have to read of the prompt, in tokens;
    ``unread`` and ``running`` are the tokens and requests that it had, by
    this instance's own count and as the others said last.  ``usable`` counts
    the servers that could be chosen, ``waiting`` the work that waited here.
    """

    need: int = 0
    unread: int = 0
    unread_others: int = 0
    running: int = 0
    running_others: int = 0
    usable: int = 0
    waiting: int = 0


class Placement(msgspec.Struct):
    """The decision to give ``work`` to a backend server now.

    ``hedge`` tells that another server, which is silent, still has it.
    """

    work: Work
    server: str
    grounds: Grounds | None = None
    hedge: bool = False


class Refusal(msgspec.Struct):
    """The decision to answer queued ``work`` without running it."""

    work: Work
    nothing: object
    grounds: Grounds | None = None


class Belief(msgspec.Struct):
    """What a policy came to believe of a server, for the log.

    ``failure_share`` is the share of its answers that failed lately,
    ``seconds`` how long it gets no work.  ``domain`` names its failure
    domain where the belief is about all of that.
    """

    text: str
    server: str
    failure_share: float
    seconds: float
    domain: str = ""


class Ended(msgspec.Struct):
    """How an attempt ended, as feedback to the policy.

    ``wasted`` tells that its output was of no use to any caller,
    ``refused`` that the server said itself that it did not run it,
    ``unreachable`` that no connection to it came about, and ``gone`` that
    another server is at its address.
    """

    request_id: str
    server: str
    output_tokens: int = 0
    failed: bool = False
    wasted: bool = False
    refused: bool = False
    unreachable: bool = False
    gone: bool = False
    gaps_ms: list = msgspec.field(default_factory=list)
