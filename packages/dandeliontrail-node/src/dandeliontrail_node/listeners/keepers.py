"""Lists the keepers and lets operators add and remove them."""

import uuid

from gevent import event as gevent_event
import msgspec

from dandeliontrail.coordination import quorum_log_status
from dandeliontrail.coordination import quorum_log_voters as voters
from dandeliontrail import effects
from dandeliontrail import events

from .. import wsgi

ANSWER_TIMEOUT_SECONDS = 5.0


class KeeperView(msgspec.Struct):
    """One voter; ``folder`` is the identity of its data folder.

    ``answered_ago`` is in seconds, -1 unless the leader is asked.
    """

    name: str
    folder: str
    leads: bool
    failure_domain: str
    address: str
    state: quorum_log_status.VoterState
    answered_ago: float


class KeepersView(msgspec.Struct):
    """The keepers that the queried instance knows, and how safe they are.

    The fields are those of :class:`quorum_log_status.LogStatus`.
    """

    kind: str
    version: int
    items: list[KeeperView]
    voters_settled: bool
    spares: list[quorum_log_status.SpareStatus]
    leader: str
    voters_answering: int | None
    losses_survived: int | None
    repair_waits: str
    repair_waits_seconds: float


def listing(host):
    """Return the :class:`KeepersView` of this instance."""
    status = host.state.log.status(host.clock.now())
    return KeepersView(
        "keepers",
        host.state.store.version,
        [_view(item, status.leader) for item in status.voters],
        status.voters_settled,
        status.spares,
        status.leader,
        status.voters_answering,
        status.losses_survived,
        status.repair_waits,
        status.repair_waits_seconds,
    )


def _view(voter, leader):
    return KeeperView(
        voter.name,
        voter.folder,
        voter.name == leader,
        voter.failure_domain,
        voter.address,
        voter.state,
        voter.answered_ago,
    )


def change(host, name, method):
    """Ask the leader to add (POST) or remove (DELETE) a keeper.

    Raises ``wsgi.Problem`` if the change is refused or no answer comes within
    ``ANSWER_TIMEOUT_SECONDS``; then it may or may not have been made.
    """
    actions = {
        "POST": voters.VoterAction.ADD,
        "DELETE": voters.VoterAction.REMOVE,
    }
    if method not in actions:
        raise wsgi.Problem(
            405,
            "method",
            f"{method} is not supported here.",
            "use POST or DELETE",
        )
    request_id = str(uuid.uuid4())
    pending_answer = gevent_event.AsyncResult()
    host.register_write(request_id, pending_answer)
    host.submit(events.VoterChangeAsked(request_id, actions[method], name))
    answer = pending_answer.wait(ANSWER_TIMEOUT_SECONDS)
    host.unregister_write(request_id)
    if answer is None:
        raise wsgi.Problem(
            504,
            "unknown",
            "The leader of the keepers did not answer.",
            "list the keepers to see whether it was made, and resend if not",
            outcome="unknown",
        )
    return _check_answer(answer)


def _check_answer(answer: effects.VoterAnswered):
    if answer.remedy:
        raise wsgi.Problem(
            409,
            "keeper_change_refused",
            answer.message,
            answer.remedy,
            outcome="not-run",
        )
    return answer
