"""Options of the replicated log for embedders."""

import msgspec


class LogOptions(msgspec.Struct, frozen=True):
    """Options besides the names of the first keepers.

    ``may_bootstrap`` allows founding a new log.  It must be false at every
    start but the first of the whole system: an instance that lost its disk
    must join the existing log and never found a second one.  If
    ``target_voters`` is above zero, the leader maintains that many voters and
    replaces lost ones; see :mod:`.quorum_log_repair`.  With
    ``polls_freshness`` an instance polls the keepers continuously for a
    guaranteed bound on the age of its state; see
    :mod:`.quorum_log_freshness_polling`.
    """

    may_bootstrap: bool = True
    target_voters: int = 0
    polls_freshness: bool = False


DEFAULT = LogOptions()
