"""Decides which parts of prompts are blocked because servers crash on them.

Requests that are no two alike may have one part in common on which each
server crashes that begins to answer.  Each crash has many suspects: the parts
of all requests that the server had hardly begun to answer.  A part is blocked
if it explains crashes that nothing else explains as well:

- A part that a server of the same software version answered on, around the
  time of a crash or later, did not cause it.
- Crashes of a software version that no server runs any more do not count.
- Servers that end at one moment, most of them without the part, have a cause
  outside it, such as a failure of their machines.  Of its crashes at such a
  moment only one counts.
- A part needs :data:`..crash_suspects.CRASHES_TO_BLOCK` crashes.  One that
  another suspect with as many crashes explains does not count.
- A part that is blocked though another one crashed nearly all of the servers
  too is tested soon, by one request without that one: the answer may clear it.
- The suspects of one request do not explain one another: where two parts
  always come together, the requests with both are blocked, and one with
  either is the test which of them it is.

Blame and evidence are those of one organisation, as callers choose the ids of
parts: nobody can have a part blocked for others, or clear it for them.  Only
where servers crash for several organisations, and answered none of them, is a
part blocked for all.

The reasoning is that of group testing and of spectrum-based fault localisation
(Jones and Harrold, "Empirical Evaluation of the Tarantula Automatic
Fault-Localization Technique", 2005).
"""

import bisect
import collections
import math

import msgspec

from ..coordination import fingerprints
from . import crash_suspects

# An answer shows that a part is sound for crashes up to this long after it,
# in seconds.  The parts that most requests share are answered far more often.
SOUND_SECONDS = 10.0
# A crash counts once the reports of all instances that had requests there
# should have come, in seconds.
REPORT_SECONDS = 0.25
# Servers that end within this time of each other, in seconds, end
# at one moment.  Instances see the end of one server up to a tick
# apart.
MOMENT_SECONDS = 0.25
# The time in seconds after the last crash until a blocked part is tried, by
# one request.  It doubles with each crash beyond those that happen until the
# part is blocked everywhere.
FIRST_TRIAL_SECONDS = 60.0
LAST_TRIAL_SECONDS = 600.0
CRASHES_BEFORE_TRIALS = 6
# Where another part may be the cause, a request without that one comes sooner:
# a whole class of requests may have the blocked part, and be sound.
TEST_SECONDS = 2.0
# Instances try a part one after the other, spread over this multiple of the
# time until the trial.
TRIAL_SPREAD = 1.0


class PartVerdict(msgspec.Struct):
    """What is known against a part that may be the cause of crashes.

    ``explanations`` has for each crash the other suspects that explain it as
    well, ``last`` is the time of the last one.  ``crashed`` are the server
    incarnations.  ``alternatives`` are the other parts that may be the cause
    instead, since they crashed nearly all of these servers.
    """

    explanations: list[frozenset]
    crashed: frozenset
    last: float
    alternatives: frozenset

    def other_suspects(self):
        """Return all that explain some of its crashes as well."""
        return frozenset().union(*self.explanations)

    def blocks(self, request_fingerprints):
        """Return whether it blocks a request with these fingerprints."""
        unexplained = sum(
            others <= request_fingerprints for others in self.explanations
        )
        return unexplained >= crash_suspects.CRASHES_TO_BLOCK

    def trial_seconds(self, request_fingerprints):
        """Return how long after the last crash such a request tries it."""
        further = max(0, len(self.crashed) - CRASHES_BEFORE_TRIALS)
        if not further and self.alternatives - request_fingerprints:
            return TEST_SECONDS
        return min(LAST_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * 2.0**further)


def fingerprints_of(work):
    """Return all fingerprints by which a request may be blocked."""
    parts = work.part_fingerprints
    return frozenset(
        (work.fingerprint, *parts, *map(fingerprints.of_any_sender, parts))
    )


def assess(table, registry, now):
    """Return the :class:`PartVerdict` of each part that may be a cause.

    ``table`` is the :class:`..coordination.server_ends.EndsTable`,
    ``registry`` the ``ServerRegistry``.  Parts that crashed servers under
    several organisations also have a verdict under the fingerprint of any
    sender.
    """
    crashes = _crashes_of_suspects(table, registry, now)
    suspects_of = collections.defaultdict(list)
    for fingerprint, ends in crashes.items():
        for incarnation in ends:
            suspects_of[incarnation].append(fingerprint)
    return {
        fingerprint: _verdict(fingerprint, crashes, suspects_of, now)
        for fingerprint in crashes
        if fingerprints.is_part(fingerprint)
    }


def _verdict(fingerprint, crashes, suspects_of, now):
    ends = crashes[fingerprint]
    explanations = [
        frozenset(
            other
            for other in suspects_of[incarnation]
            if other != fingerprint and len(crashes[other]) >= len(ends)
        )
        for incarnation, at in ends.items()
        if now - at >= REPORT_SECONDS
    ]
    return PartVerdict(
        explanations,
        frozenset(ends),
        max(ends.values()),
        _alternatives(fingerprint, ends, suspects_of),
    )


def _alternatives(fingerprint, ends, suspects_of):
    """Return the other parts without which too few crashes remain."""
    shared = collections.Counter(
        other
        for incarnation in ends
        for other in suspects_of[incarnation]
        if other != fingerprint and fingerprints.is_part(other)
    )
    return frozenset(
        other
        for other, count in shared.items()
        if len(ends) - count < crash_suspects.CRASHES_TO_BLOCK
    )


def _crashes_of_suspects(table, registry, now):
    """Return the crashes, with their times, of all with enough of them."""
    running = _running_versions(registry, now)
    found = {}
    by_part = collections.defaultdict(list)
    for fingerprint, suspect in table.suspects.items():
        if fingerprints.is_part(fingerprint):
            by_part[fingerprints.of_any_sender(fingerprint)].append(suspect)
        if len(suspect.ends) >= crash_suspects.CRASHES_TO_BLOCK:
            found[fingerprint] = _counted(suspect, suspect.sound, running)
    for part, suspects in by_part.items():
        if len(suspects) > 1:
            found[part] = _counted_of_all(suspects, running)
    crashed = _with_enough(
        {
            fingerprint: _ended(ends, registry, now)
            for fingerprint, ends in found.items()
        }
    )
    if not crashed:
        return {}
    times = _times_of_all(table, registry, now)
    return _with_enough(
        {
            fingerprint: _without_common_cause(ends, times)
            for fingerprint, ends in crashed.items()
        }
    )


def _with_enough(crashes):
    return {
        fingerprint: ends
        for fingerprint, ends in crashes.items()
        if len(ends) >= crash_suspects.CRASHES_TO_BLOCK
    }


def _ended(ends, registry, now):
    """Return those of the ends after which the server was not alive."""
    return {
        incarnation: at
        for incarnation, at in ends.items()
        if not crash_suspects.is_alive(registry, incarnation, at, now)
    }


def _times_of_all(table, registry, now):
    """Return when each server ended, whatever it ran, in order."""
    first = {}
    for suspect in table.suspects.values():
        for incarnation, at in suspect.ends.items():
            first[incarnation] = min(at, first.get(incarnation, at))
    return sorted(_ended(first, registry, now).values())


def _without_common_cause(ends, times):
    """Return the ends of a part, one for each moment of a common cause.

    ``times`` are those of the ends of all servers, in order.
    """
    own_times = sorted(ends.values())
    counted = {}
    last_common = -math.inf
    for incarnation, at in sorted(
        ends.items(), key=lambda item: (item[1], item[0])
    ):
        own = _count_around(at, own_times)
        if _count_around(at, times) - own > own:
            if at - last_common <= MOMENT_SECONDS:
                continue
            last_common = at
        counted[incarnation] = at
    return counted


def _count_around(at, times):
    return bisect.bisect_right(
        times, at + MOMENT_SECONDS
    ) - bisect.bisect_left(times, at - MOMENT_SECONDS)


def _running_versions(registry, now):
    """Return the software versions that servers run, or ``None``.

    Without any server nothing is known of versions, and nothing is sent.
    """
    versions = {
        server.announcement.software_version
        for server in registry.servers.values()
        if server.expires > now
    }
    return versions or None


def _counted(suspect, sound, running=None):
    """Return the ends that no answer shows to have another cause.

    ``running`` are the software versions that servers run, if that is known.
    """
    counted = {}
    for incarnation, at in suspect.ends.items():
        version = suspect.versions.get(incarnation, "")
        is_gone = running is not None and version and version not in running
        is_cleared = sound.get(version, -math.inf) >= at - SOUND_SECONDS
        if not is_gone and not is_cleared:
            counted[incarnation] = at
    return counted


def counted_ends(suspect):
    """Return the ends, with their times, that count against a part."""
    return _counted(suspect, suspect.sound)


def is_cleared_by(suspect, incarnation, version, at):
    """Return whether an answer at ``at`` clears a part of one end."""
    return (
        suspect.versions.get(incarnation, "") == version
        and at >= suspect.ends[incarnation] - SOUND_SECONDS
    )


def _counted_of_all(suspects, running):
    """Return the ends of a part under several organisations, or none.

    What was answered for one of them counts for all here.
    """
    sound = {}
    for suspect in suspects:
        for version, at in suspect.sound.items():
            sound[version] = max(at, sound.get(version, -math.inf))
    counted = [_counted(suspect, sound, running) for suspect in suspects]
    if sum(map(bool, counted)) < 2:
        return {}
    return {
        incarnation: at for ends in counted for incarnation, at in ends.items()
    }
