"""Configuration changes requested by operators, one voter at a time."""

import enum

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_entries as entries
from . import quorum_log_reconfiguration as reconfiguration


class VoterAction(enum.Enum):
    """The requested change."""

    ADD = "add"
    REMOVE = "remove"


class VoterRequest(msgspec.Struct, tag="voter_request"):
    """Asks the leader to add or remove the keeper called ``name``."""

    log_id: str
    request_id: str
    action: VoterAction
    name: str


class VoterReply(msgspec.Struct, tag="voter_reply"):
    """The leader's reply; ``remedy`` is empty if the request was accepted."""

    log_id: str
    request_id: str
    message: str
    remedy: str = ""


class Refusal(msgspec.Struct):
    """Why a configuration change was refused; always true."""

    message: str
    remedy: str

    def __bool__(self):
        return True


class VoterChanges:
    """Validates and starts configuration changes on the leader."""

    def __init__(self, core, leadership, founding):
        self._core = core
        self._leadership = leadership
        self._founding = founding

    def request_change(self, action, name, request_id, leader, now):
        """Start a change on this leader, or forward it to ``leader``.

        Returns the reply, or ``None`` if ``leader`` will send it.
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
            "This instance does not know the leader of the keepers.",
            "send the request again later, or to another instance",
        )

    def handle_request(self, source, message, now):
        """Answer a request that another instance forwarded."""
        if self._core.role is core_module.Role.LEADER:
            self._core.send(source.instance, self._reply(message, now))

    def _reply(self, request, now):
        refusal = self.start_change(request.action, request.name, now)
        if refusal:
            message, remedy = refusal.message, refusal.remedy
        else:
            message, remedy = (
                "accepted; list the keepers to see when it is done",
                "",
            )
        return VoterReply(
            self._core.log_id, request.request_id, message, remedy
        )

    def start_change(self, action, name, now):
        """Start a change; return ``None`` or the :class:`Refusal`."""
        if not self._leadership.reconfiguration.can_change():
            return Refusal(
                "Another change of keepers or an election is in progress.",
                "send it again in a few seconds",
            )
        if action is VoterAction.ADD:
            return self._add(name, now)
        return self._remove(name, now)

    def _add(self, name, now):
        voters = self._core.log.voters
        folder = self._founding.folders.get(name)
        if folder is None:
            return Refusal(
                f"{name} has not shown itself as an instance with a disk.",
                "start it with keeper.data_dir and let it reach a keeper",
            )
        voter = entries.Voter(name, folder)
        if any(item.name == name for item in voters):
            return Refusal(
                f"{name} is already a keeper, with this or an earlier disk.",
                f"if it lost its disk, remove {name} before adding it again",
            )
        joining = reconfiguration.Joining(voter, None, now)
        self._leadership.reconfiguration.join(joining)
        return None

    def _remove(self, name, now):
        voters = self._core.log.voters
        remaining = [item for item in voters if item.name != name]
        if len(remaining) == len(voters):
            return Refusal(
                f"{name} is not a keeper.", "list the keepers to see who is"
            )
        if not self._leadership.hears_majority_of(remaining, now):
            return Refusal(
                f"Without {name}, less than a majority of the remaining"
                " keepers would be reachable.",
                "bring another keeper back first, or add one",
            )
        self._leadership.reconfiguration.joining = None
        self._leadership.reconfiguration.change(remaining, now)
        return None
