"""Sentinel values that carry a reason.

A decision without a result returns one of these instead.  All are false in a
condition, so that callers read naturally::

    server = place(req, servers)
    if not server:
        log(server.reason)
"""

import enum

import msgspec


class Reason(enum.Enum):
    """Why a request got no result; the value is written to logs."""

    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_TARGET = "unknown_target"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_PROVEN = "state_not_proven_recent"
    OVER_LIMIT = "organisation_over_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_SERVER = "no_backend_server"
    NO_VERSION = "software_version_gone"
    UNKNOWN_STREAM = "stream_unknown"
    ALL_BUSY = "all_backend_servers_busy"
    SERVER_LIMIT = "backend_server_limit"
    SERVERS_REST = "backend_servers_rest"
    DRAINING = "instance_draining"
    SERVER_FAILED = "backend_server_failed"
    RETRY_BUDGET = "retry_budget_used_up"
    ENDS_SERVERS = "servers_end_under_it"
    NO_QUORUM = "no_quorum"
    NO_CONFIGURATION = "no_configuration"
    KEY_REUSED = "idempotency_key_reused"
    ANSWER_GONE = "answer_no_longer_held"
    HOLDER_LOST = "holder_of_idempotency_key_lost"
    CALLER_GONE = "caller_gone"


class Nothing(msgspec.Struct, frozen=True):
    """The absence of a result, with the reason for it.

    ``retry_after`` is in seconds; ``None`` means that trying again later
    does not help.
    """

    reason: Reason
    retry_after: float | None = None

    def __bool__(self):
        return False
