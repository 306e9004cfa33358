"""What is known about calls to the platform, and the log entries behind it."""

import msgspec

from ..coordination import leases
from ..coordination import server_counts
from ..coordination import true_time
from ..coordination import usage
from ..coordination import usage_windows
from . import orders_state

# For a platform that is told nothing of its own: calls of a second, and no two
# holders that act by turns within three.
TERMS = leases.LeaseTerms(1.5, 1.0, 3.0, by_keepers=True)
# The subject of the one lease over all calls to the platform; a failure
# domain, which is a subject too, has no such name.
SUBJECT = "/platform"


class DutyOptions(msgspec.Struct, frozen=True):
    """What the platform asks of whoever calls it.

    ``window`` is the length of a window of usage and ``late`` how long after
    its end its counts are due, both in seconds; without ``reports_usage``
    none are told, without ``orders_servers`` the number of servers is left
    alone.  ``terms`` are those of the lease, ``checks_fencing`` tells that
    the platform refuses a number below the greatest that it saw.
    """

    reports_usage: bool = False
    orders_servers: bool = False
    window: float = 60.0
    late: float = 120.0
    checks_fencing: bool = False
    terms: leases.LeaseTerms = TERMS

    @property
    def any(self):
        """Tell whether the platform is called at all."""
        return self.reports_usage or self.orders_servers


class DutiesState(msgspec.Struct):
    """Owned by the duties component, but for ``counter``.

    The usage windows component owns that; the request component counts
    into it.
    """

    options: DutyOptions
    lease: leases.LeaseHolder
    decided: usage_windows.DecidedWindows
    ordered: server_counts.OrderedCounts
    counter: usage_windows.WindowCounter
    clock: true_time.TrueTime


def new_duties_state(identity, options=DutyOptions()):
    """Return the state of an instance that has seen nothing yet."""
    return DutiesState(
        options,
        leases.LeaseHolder(identity, SUBJECT, options.terms),
        usage_windows.DecidedWindows(),
        server_counts.OrderedCounts(),
        usage_windows.WindowCounter(options.window),
        true_time.TrueTime(),
    )


def report_of(identity, through, windows):
    """Return what an instance tells of its ``windows`` up to ``through``."""
    publisher = usage.Publisher(identity.instance, identity.incarnation)
    return usage_windows.WindowReport(publisher, through, windows)


def register(log, state):
    """Have the log's entries about duties applied to ``state``."""
    decided = orders_state.TableApplier(
        state.decided, usage_windows.WindowResult
    )
    log.register(usage_windows.WindowDecision, decided)
    ordered = orders_state.TableApplier(
        state.ordered, server_counts.CountResult
    )
    log.register(server_counts.CountOrder, ordered)
