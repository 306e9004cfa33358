"""Who the keepers are, and operators' changes of that."""

import uuid

from gevent import event as gevent_event
import msgspec

from dandeliontrail.coordination import quorum_log_voters as voters
from dandeliontrail import effects
from dandeliontrail import events

from .. import wsgi

SECONDS = 5.0


class KeeperView(msgspec.Struct):
    """One keeper and the identity of its data folder."""

    name: str
    folder: str
    leads: bool


class KeepersView(msgspec.Struct):
    """The keepers, as the instance that was asked knows them."""

    kind: str
    version: int
    items: list[KeeperView]


def listing(host):
    """Return the keepers."""
    status = host.state.log.status(host.clock.now())
    items = [
        KeeperView(item.name, item.folder, item.name == status.leader)
        for item in status.voters
    ]
    return KeepersView("keepers", host.state.store.version, items)


def change(host, name, method):
    """Ask the leader to add (POST) or remove (DELETE) a keeper."""
    actions = {
        "POST": voters.VoterAction.ADD,
        "DELETE": voters.VoterAction.REMOVE,
    }
    if method not in actions:
        raise wsgi.Problem(
            405, "method", f"{method} is not served here.", "use POST, DELETE"
        )
    request_id = str(uuid.uuid4())
    waiting = gevent_event.AsyncResult()
    host.expect_write(request_id, waiting)
    host.submit(events.VoterChangeAsked(request_id, actions[method], name))
    answer = waiting.wait(SECONDS)
    host.forget_write(request_id)
    if answer is None:
        raise wsgi.Problem(
            504,
            "unknown",
            "The leader of the keepers did not answer.",
            "list the keepers to see whether it was done, then send it again",
            outcome="unknown",
        )
    return _checked(answer)


def _checked(answer: effects.VoterAnswered):
    if answer.remedy:
        raise wsgi.Problem(
            409,
            "keeper_change_refused",
            answer.message,
            answer.remedy,
            outcome="not-run",
        )
    return answer
