"""Options of the replicated log for embedders."""

import msgspec


class LogOptions(msgspec.Struct, frozen=True):
    """Options besides the names of the first keepers.

    ``may_found`` allows founding a new log.  It must be false at every start
    but the first of the whole system: an instance that lost its disk must
    join the existing log and never found a second one.  If ``wanted_voters``
    is above zero, the leader maintains that many voters and replaces lost
    ones; see :mod:`.quorum_log_repair`.  With ``proves_often`` an instance
    polls the keepers continuously for a guaranteed bound on the age of its
    state; see :mod:`.quorum_log_freshness_polling`.
    """

    may_found: bool = True
    wanted_voters: int = 0
    proves_often: bool = False


DEFAULT = LogOptions()
