"""Finds the version of streams that callers resume.

A caller names the request that brought the first event of its stream.  The
instance that the caller comes to may know that stream or asks those that hold
its record.  A stream that nobody knows goes on only if no second version can
have begun it (:mod:`..decisions.unknown_streams`).
"""

import enum

import msgspec

from .. import effects
from .. import sentinels
from . import answers
from ..coordination import stream_records
from ..decisions import unknown_streams
from . import intake

# A record may be under way while its caller is already back.  After the first
# of these, all that may hold it are asked; after the second, it is unknown.
ASK_AGAIN_SECONDS = 0.15
MAX_ASKING_SECONDS = 0.6
NEVER = float("inf")
# How long a stream that nobody knows waits for a proof that there is only one
# version: the interval of the proofs and some transit.
MAX_PROOF_WAIT_SECONDS = 0.8
# Many times the streams that an instance has; callers of further ones are told
# to come back.
MAX_SEARCHES = 4096
UNKNOWN_RETRY_SECONDS = 0.5


class Source(enum.Enum):
    """Where the version of a stream is known from."""

    OWN = "own"
    ASKED = "asked"
    ALONE = "alone"
    UNKNOWN = "unknown"


class Origin(msgspec.Struct):
    """Where a stream began; ``began`` is a local time, if it is known."""

    source: Source
    service: str = ""
    version: str = ""
    began: float | None = None


class Outcome(msgspec.Struct):
    """The result for one request: ``work`` to queue, bound to its version.

    If ``nothing`` is set, it is refused with that.
    """

    event: object
    work: object
    nothing: object = None


class _Search(msgspec.Struct):
    """A search for the record of the stream with this ``key``.

    It began at ``began``; the request may have waited for the state since it
    was ``received``.  ``pending`` are the addresses that have not answered,
    and ``ask_again_at`` is when all that may hold the record are asked.
    """

    event: object
    received: float
    began: float
    key: str | None
    pending: set
    ask_again_at: float


class StreamResumptions:
    """The requests that resume streams, until the version is known.

    ``streams`` is the component that knows who holds which record.
    """

    def __init__(self, state, streams):
        self._state = state
        self._streams = streams
        self._searches = {}
        self._outcomes = []
        self._counts = state.stream_counts.resumed

    def begin(self, event, work, received, now):
        """Find the version of the stream that a request resumes.

        Returns effects; :meth:`take_outcomes` has the result once it is known.
        """
        key = stream_records.key_of(
            work.organisation, work.class_name, event.resumes
        )
        held = None if key is None else self._state.streams.find(key, now)
        if held is not None:
            origin = Origin(Source.OWN, held.service, held.version, held.began)
            return self._settle(event, received, origin, now)
        if len(self._searches) >= MAX_SEARCHES:
            origin = Origin(Source.UNKNOWN)
            return self._settle(
                event, received, origin, now, UNKNOWN_RETRY_SECONDS
            )
        addresses = []
        if key is not None:
            addresses = self._streams.holders_of(key, now)
        search = _Search(
            event,
            received,
            now,
            key,
            set(addresses),
            now + ASK_AGAIN_SECONDS,
        )
        self._searches[event.request_id] = search
        return self._ask(addresses, key) + self._advance(search, now)

    def take_outcomes(self):
        """Remove and return the :class:`Outcome` objects that are new."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def drop(self, request_id):
        """Forget a request; return whether it was waiting."""
        return self._searches.pop(request_id, None) is not None

    def tick(self, now):
        """Ask again, or settle what has waited long enough."""
        out = []
        for search in list(self._searches.values()):
            out.extend(self._advance(search, now))
        return out

    def handle_answers(self, source, message, now):
        """Process the records that another instance holds."""
        delay = self._state.members.delay(source, now)
        found = {}
        for record in message.records:
            found[record.key] = record
            record.age += delay
            self._state.streams.put(record, now)
        unknown = set(message.unknown)
        out = []
        for search in list(self._searches.values()):
            if search.key in found:
                out.extend(self._settle_asked(search, now))
            elif search.key in unknown:
                search.pending.discard(source.address)
                out.extend(self._advance(search, now))
        return out

    def _ask(self, addresses, key):
        message = stream_records.StreamQueries([key])
        return [effects.SendPeer(address, message) for address in addresses]

    def _settle_asked(self, search, now):
        held = self._state.streams.find(search.key, now)
        if held is None:
            # Two versions were told for it.
            return self._settle_unknown(search, now)
        origin = Origin(Source.ASKED, held.service, held.version, held.began)
        return self._settle(search.event, search.received, origin, now)

    def _advance(self, search, now):
        """Take the next step of a search, if it is due."""
        waited = now - search.began
        if not search.pending or waited >= ASK_AGAIN_SECONDS:
            sole = self._sole_version(search, now)
            if sole is not None:
                return self._settle(search.event, search.received, sole, now)
        if search.key is not None and waited < MAX_ASKING_SECONDS:
            if now >= search.ask_again_at:
                return self._ask_all(search, now)
            if search.pending or search.ask_again_at < NEVER:
                return []
        if waited < MAX_PROOF_WAIT_SECONDS and self._may_be_sole(search):
            return []
        return self._settle_unknown(search, now)

    def _ask_all(self, search, now):
        """Ask everybody who may hold the record.

        With relays, a record takes a few tenths of a second to its holders,
        so they are asked again and again.
        """
        search.ask_again_at = NEVER
        if not self._state.members.full_mesh():
            search.ask_again_at = now + ASK_AGAIN_SECONDS
        addresses = self._streams.candidate_addresses(now)
        search.pending = set(addresses)
        return self._ask(addresses, search.key)

    def _route_of(self, event):
        table = self._state.routing.table
        return table.find(event.host, event.path) if table else None

    def _sole_version(self, search, now):
        """Return the origin of a stream if there is one version only."""
        ago = self._state.log.proven_ago(now)
        proven_at = None if ago is None else now - ago
        return self._origin_if_sole(search, proven_at)

    def _may_be_sole(self, search):
        """Return whether a younger proof would settle a search."""
        return self._origin_if_sole(search, search.received) is not None

    def _origin_if_sole(self, search, proven_at):
        route = self._route_of(search.event)
        if route is None:
            return None
        found = unknown_streams.sole_version(
            route,
            self._state.software_versions,
            proven_at,
            search.received,
        )
        return None if found is None else Origin(Source.ALONE, *found)

    def _settle_unknown(self, search, now):
        origin = Origin(Source.UNKNOWN)
        retry_after = None
        if search.pending or self._may_be_sole(search):
            # Somebody may know it who has not answered, or no proof came.
            retry_after = UNKNOWN_RETRY_SECONDS
        return self._settle(
            search.event, search.received, origin, now, retry_after
        )

    def _settle(self, event, received, origin, now, retry_after=None):
        """End a search; queue the work, bound to its version, or refuse it."""
        self._searches.pop(event.request_id, None)
        self._counts[origin.source.value] += 1
        work = intake.routed_work_of(self._state, event, received, now)
        nothing = None
        if not work:
            nothing = work
        elif origin.source is Source.UNKNOWN:
            nothing = sentinels.Nothing(
                sentinels.Reason.UNKNOWN_STREAM, retry_after
            )
        elif not self._is_on_route(event, origin.service):
            nothing = sentinels.Nothing(sentinels.Reason.NO_VERSION)
        else:
            work.service = origin.service
            work.software_version = origin.version
        self._outcomes.append(Outcome(event, work, nothing))
        return [_line(event, origin, nothing, now)]

    def _is_on_route(self, event, service):
        route = self._route_of(event)
        return any(
            part.service == service and part.weight > 0 for part in route.split
        )


def _line(event, origin, nothing, now):
    """Return the log line of a stream that a caller resumes."""
    age = None if origin.began is None else round(now - origin.began, 3)
    fields = {
        "request_id": event.request_id,
        "resumes": event.resumes[: answers.MAX_LOGGED_ID_CHARACTERS],
        "service": origin.service,
        "software_version": origin.version,
        "source": origin.source.value,
        "began_ago": age,
        "refused": nothing.reason.value if nothing is not None else "",
        "important": nothing is not None,
    }
    return effects.Log("info", "stream resumed", fields)
