"""Operators' changes of who is a keeper, one voter at a time."""

import enum

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_entries as entries


class VoterAction(enum.Enum):
    """What is asked for."""

    ADD = "add"
    REMOVE = "remove"


class VoterRequest(msgspec.Struct, tag="voter_request"):
    """Asks the leader to add or remove the keeper called ``name``."""

    log_id: str
    request_id: str
    action: VoterAction
    name: str


class VoterReply(msgspec.Struct, tag="voter_reply"):
    """What the leader says; ``remedy`` is empty where it was accepted."""

    log_id: str
    request_id: str
    message: str
    remedy: str = ""


class Refusal(msgspec.Struct):
    """Why a change of voters was not accepted."""

    message: str
    remedy: str

    def __bool__(self):
        return True


class VoterChanges:
    """Checks and starts changes of voters, on the leader."""

    def __init__(self, core, leadership, founding):
        self._core = core
        self._leadership = leadership
        self._founding = founding

    def ask(self, action, name, request_id, leader, now):
        """Start a change here, or ask the leader to.

        Returns the reply, or ``None`` where it is to come from ``leader``.
        """
        log_id = self._core.log_id
        request = VoterRequest(log_id, request_id, action, name)
        if self._core.role is core_module.Role.LEADER:
            return self._reply(request, now)
        if leader:
            self._core.send(leader, request)
            return None
        return VoterReply(
            log_id,
            request_id,
            "No leader of the keepers is known here.",
            "send it again later, or to another instance",
        )

    def requested(self, source, message, now):
        """Answer another instance that asks for a change."""
        if self._core.role is core_module.Role.LEADER:
            self._core.send(source.instance, self._reply(message, now))

    def _reply(self, request, now):
        refusal = self.start(request.action, request.name, now)
        if refusal:
            text, remedy = refusal.message, refusal.remedy
        else:
            text, remedy = "accepted; list the keepers to see it done", ""
        return VoterReply(self._core.log_id, request.request_id, text, remedy)

    def start(self, action, name, now):
        """Start a change and return ``None``, or a :class:`Refusal`."""
        if not self._leadership.can_change_voters():
            return Refusal(
                "Another change of keepers, or a new leader, is settling.",
                "send it again in a few seconds",
            )
        if action is VoterAction.ADD:
            return self._add(name)
        return self._remove(name, now)

    def _add(self, name):
        voters = self._core.log.voters
        folder = self._founding.folders.get(name)
        if folder is None:
            return Refusal(
                f"{name} has not shown itself as an instance with a disk.",
                "start it with keeper.data_dir and let it reach a keeper",
            )
        wanted = entries.Voter(name, folder)
        if any(item.name == name for item in voters):
            return Refusal(
                f"{name} is a keeper already, by this or an earlier disk.",
                f"if it lost its disk, remove {name} first and add it then",
            )
        # It becomes a voter once it has caught up, not before: until then
        # it would be counted on for entries that it does not have.
        self._leadership.joining = wanted
        return None

    def _remove(self, name, now):
        voters = self._core.log.voters
        left = [item for item in voters if item.name != name]
        if len(left) == len(voters):
            return Refusal(
                f"{name} is not a keeper.", "list the keepers to see who is"
            )
        if not self._leadership.hears_majority_of(left, now):
            return Refusal(
                f"Without {name} fewer than a majority of the keepers left"
                " would be reachable.",
                "bring another keeper back first, or add one",
            )
        self._leadership.joining = None
        self._leadership.change_voters(left, now)
        return None
