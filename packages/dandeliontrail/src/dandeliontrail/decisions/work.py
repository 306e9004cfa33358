"""The data that placement policies take in and return."""

import msgspec


class Work(msgspec.Struct):
    """One request as the policies see it.

    ``received`` and ``deadline`` are on this instance's clock. ``priority`` is
    lower for more important work.

    ``excluded_servers`` names those on which an attempt has failed already;
    ``rejected_by`` names those of them that rejected the request without
    starting it while it was also outstanding at a silent server.

    ``predicted_tokens`` is the expected output length, 0 if unknown. ``parts``
    are the parts of the prompt, in order, as ``(name, tokens)``; the last part
    belongs to this request alone. ``max_attempts`` limits how many servers the
    request may reach; 0 leaves the limit to the node. ``routed`` is true if
    the settings come from a route rather than from a request class.
    ``start_priority`` is the priority passed to a model engine for routed
    work. It combines the organisation's priority with the route's own step,
    ``route_priority``.

    ``fingerprint`` identifies the sender, the destination and the body: it
    stays the same when a request is sent again under another id.
    ``part_fingerprints`` are those of the parts of the prompt that other
    requests may share.

    ``unreached_servers`` names those that could not be connected to directly.
    ``unreached_since`` is from when on a path was lost or broke under the last
    attempt for which that happened.  ``path_failures`` counts the tunnels
    through peers that were not opened since the last attempt that began, from
    ``path_search_began`` on.

    ``resumes`` is the id of the request whose stream this one resumes, or ''.
    ``software_version`` is the version that wrote the first event of the
    stream, ``None`` while there is none; only servers of it may take the work.
    ``is_repeat`` is true while the work waits to be sent once more after a
    server got it, which counts against the retry budget.
    ``is_continuing`` is true once the caller holds events of this answer, and
    ``queued_at`` is when the work was last queued.  ``held_at`` is when it was
    last held back since servers rest, ``None`` if it never was.

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
    part_fingerprints: tuple = ()
    excluded_servers: set = msgspec.field(default_factory=set)
    rejected_by: set = msgspec.field(default_factory=set)
    unreached_servers: set = msgspec.field(default_factory=set)
    unreached_since: float | None = None
    path_failures: int = 0
    path_search_began: float = 0.0
    resumes: str = ""
    software_version: str | None = None
    is_continuing: bool = False
    queued_at: float = 0.0
    is_repeat: bool = False
    held_at: float | None = None

    @property
    def begins_stream(self):
        """Whether this would begin a stream that can be resumed."""
        return (
            self.streamed and self.repeatable and self.software_version is None
        )

    def allows_repeat_after(self, unstreamed):
        """Return whether the work may be sent again after it may have begun.

        ``unstreamed`` tells that its answer turned out to be no stream.  Then
        a stream that could be resumed is none, and the work may have run.
        """
        return self.repeatable and not (self.streamed and unstreamed)

    def note_path_failure(self, now):
        """Record that a tunnel through a peer was not opened."""
        if not self.path_failures:
            self.path_search_began = now
        self.path_failures += 1

    def ask_again(self):
        """Make the servers that rejected the work eligible again.

        They may have room by now.
        """
        self.excluded_servers -= self.rejected_by
        self.rejected_by.clear()


class DecisionInputs(msgspec.Struct):
    """The inputs of a decision, kept to explain it later.

    ``need`` is how many prompt tokens the server would have to compute;
    ``unread`` and ``running`` are the uncomputed tokens and the requests that
    this instance had there, and ``unread_others`` and ``running_others`` those
    that the other instances last reported. ``usable`` is the number of servers
    to choose from and ``waiting`` the number of requests queued at this
    instance.  For a server that names a limit, ``limit`` is that limit in
    requests per second and ``permits`` what this instance may still send
    there; for a request refused because of limits, ``limited`` is the number
    of such servers and ``limit_wait_ms`` how long a permit would have taken.
    ``through`` is the peer by which a server is reached that has no direct
    path, and ``unreachable`` the number of servers without one.  For a prompt
    that waited for a grant, ``queued_ms`` is the time in prefill queues and
    ``asked`` the number of engines that it was asked for at;
    ``holder`` is the instance that granted it.
    """

    need: int = 0
    unread: int = 0
    unread_others: int = 0
    running: int = 0
    running_others: int = 0
    usable: int = 0
    waiting: int = 0
    limit: float | None = None
    permits: int | None = None
    limited: int | None = None
    limit_wait_ms: float | None = None
    through: str | None = None
    unreachable: int | None = None
    queued_ms: float | None = None
    asked: int | None = None
    holder: str | None = None


class Placement(msgspec.Struct):
    """The decision to send ``work`` to a backend server now.

    ``hedge`` is true if the work is also outstanding at another server, which
    is silent.  ``peer`` is the instance through which the server is reached,
    '' for a direct path.
    """

    work: Work
    server: str
    grounds: DecisionInputs | None = None
    hedge: bool = False
    peer: str = ""


class Refusal(msgspec.Struct):
    """The decision to answer queued ``work`` without running it."""

    work: Work
    nothing: object
    grounds: DecisionInputs | None = None


class HealthFinding(msgspec.Struct):
    """A conclusion about a server's health, for the log.

    ``failure_share`` is the share of its recent answers that failed and
    ``seconds`` how long it gets no work. ``domain`` names a failure domain if
    the conclusion is about all of its servers.
    """

    text: str
    server: str
    failure_share: float
    seconds: float
    domain: str = ""


class AttemptEnd(msgspec.Struct):
    """How an attempt ended, as feedback to the policy.

    ``wasted``: no caller could use the output. ``refused``: the server said
    that it did not run the request. ``unreachable``: no connection to the
    server was established. ``overtaken``: it was given up, since a hedge had
    output first. ``withheld``: nothing was sent, since the server had asked
    for rest meanwhile. ``gone``: another server has taken over its
    address. ``broken``: the connection failed before the answer was whole.
    ``path_failure`` tells why a tunnel through a peer was not opened
    (:class:`.peer_paths.PathFailure`).  ``idle_seconds`` is for how long the
    connection is kept for reuse.
    """

    request_id: str
    server: str
    output_tokens: int = 0
    failed: bool = False
    wasted: bool = False
    refused: bool = False
    unreachable: bool = False
    overtaken: bool = False
    withheld: bool = False
    gone: bool = False
    broken: bool = False
    path_failure: object = None
    gaps_ms: list = msgspec.field(default_factory=list)
    idle_seconds: float = 0.0
