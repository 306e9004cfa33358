"""What an embedder may choose about its quorum log."""

import msgspec


class LogOptions(msgspec.Struct, frozen=True):
    """Choices beyond the names of the first keepers.

    ``may_found`` is false for every start but the first of the whole system:
    an instance that lost its disk must join the log of the others and never
    found a second one.  With ``wanted_voters`` above zero the leader keeps
    that many voters by itself, replacing lost ones; see
    :mod:`.quorum_log_repair`.  With ``proves_often`` an instance keeps on
    proving how recent its state is; see :mod:`.quorum_log_proving`.
    """

    may_found: bool = True
    wanted_voters: int = 0
    proves_often: bool = False


DEFAULT = LogOptions()
