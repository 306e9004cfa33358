"""Decides which requests are blocked because servers crash on them.

A request that crashes each server which begins to run it, and that its caller
sends again, would end one or two more servers with every resend, along with
all that runs beside it, until the pool is down.  After three crashes no
instance gives it a server any more.

Other requests run beside such a one and must not be blocked with it:

- Only a request that the server had hardly begun to answer is a suspect.  A
  server crashes on a request as it begins it, so a stream that has been open
  for a while is not the cause.
- A request that any server has completed is cleared.
- A server that is known to be alive later has not crashed: its connection was
  reset.
- A crash that a part of prompts explains as well (:mod:`.crash_parts`) does
  not count.
- A crash that is attributed to another request, one with more crashes, does
  not count, unless there are :data:`CRASHES_TO_BLOCK_ANYWAY`: more than an
  innocent request that is resent once meets.
"""

# A request is blocked after this many crashes that are not attributed to
# another one.
CRASHES_TO_BLOCK = 3
# This many crashes block a request even if other requests are the likelier
# cause.  A caller that resends once makes two attempts twice, so an innocent
# request meets four crashes at most.
CRASHES_TO_BLOCK_ANYWAY = 5
# A request that crashes its server does so this soon after its first output.
CRASH_WINDOW_SECONDS = 0.5
# A server that announces itself this long after a connection to it closed has
# not crashed.  Announcements from before may be delayed for as long.
ALIVE_MARGIN_SECONDS = 2.0
# A blocked request may try again this long after the last crash, once: the
# next crash blocks it again.
BLOCK_SECONDS = 600.0


def is_suspect(closed, output_at, now):
    """Return whether an attempt that failed may have crashed its server.

    ``closed`` is true if the connection was closed; ``output_at`` is the time
    of the attempt's first output, 0 without any.
    """
    return closed and (not output_at or now - output_at < CRASH_WINDOW_SECONDS)


def is_blocked(table, fingerprint, registry, now, part_verdicts=()):
    """Return whether a request gets no server at present.

    ``table`` is the :class:`..coordination.server_ends.EndsTable`,
    ``registry`` the ``ServerRegistry`` and ``part_verdicts`` those of
    :func:`.crash_parts.assess` about parts of other requests.
    """
    record = table.suspects.get(fingerprint)
    if record is None or len(record.ends) < CRASHES_TO_BLOCK:
        return False
    if now - record.last > BLOCK_SECONDS:
        return False
    crashed = [
        incarnation
        for incarnation, at in record.ends.items()
        if not is_alive(registry, incarnation, at, now)
    ]
    crashed = _without_explained(part_verdicts, crashed)
    if len(crashed) >= CRASHES_TO_BLOCK_ANYWAY:
        return True
    attributed = [
        incarnation
        for incarnation in crashed
        if not _has_likelier_cause(table, fingerprint, incarnation)
    ]
    return len(attributed) >= CRASHES_TO_BLOCK


def is_alive(registry, incarnation, at, now):
    """Return whether a server was alive after its presumed crash."""
    name, epoch = incarnation
    server = registry.servers.get(name)
    return (
        server is not None
        and server.announcement.epoch == epoch
        and server.heard_at > at + ALIVE_MARGIN_SECONDS
        and server.expires > now
    )


def _without_explained(verdicts, crashed):
    """Return those of a request's crashes that no part explains as well.

    A part that has as many crashes is the likelier cause.
    """
    explained = set()
    for verdict in verdicts:
        if len(verdict.crashed) >= len(crashed):
            explained.update(verdict.crashed)
    return [item for item in crashed if item not in explained]


def _has_likelier_cause(table, fingerprint, incarnation):
    """Return whether another request is more likely to have crashed it."""
    own_crashes = len(table.suspects[fingerprint].ends)
    for other in table.fingerprints_of(incarnation):
        crashes = len(table.suspects[other].ends)
        if crashes > own_crashes and crashes >= CRASHES_TO_BLOCK:
            return True
    return False
