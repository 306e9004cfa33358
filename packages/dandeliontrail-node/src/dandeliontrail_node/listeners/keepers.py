"""Lists the keepers and lets operators add and remove them."""

import uuid

from gevent import event as gevent_event
import msgspec

from dandeliontrail.coordination import quorum_log_voters as voters
from dandeliontrail import effects
from dandeliontrail import events

from .. import wsgi

ANSWER_TIMEOUT_SECONDS = 5.0


class KeeperView(msgspec.Struct):
    """One keeper; ``folder`` is the identity of its data folder."""

    name: str
    folder: str
    leads: bool


class KeepersView(msgspec.Struct):
    """The keepers that the queried instance knows."""

    kind: str
    version: int
    items: list[KeeperView]


def listing(host):
    """Return the :class:`KeepersView` of this instance."""
    status = host.state.log.status(host.clock.now())
    items = [
        KeeperView(item.name, item.folder, item.name == status.leader)
        for item in status.voters
    ]
    return KeepersView("keepers", host.state.store.version, items)


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
