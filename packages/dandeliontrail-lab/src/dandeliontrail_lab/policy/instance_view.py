"""An instance of the policy bench: its policy and its view of engines."""

import dataclasses

from dandeliontrail.coordination import servers
from dandeliontrail.decisions import work as work_module


class Directory:
    """One instance's view of the engines, updated by delayed reports."""

    def __init__(self):
        self.servers = {}
        self._server_list = []

    def eligible(self, class_name, model, service):
        """Return all engines, because the bench has a single model."""
        return self._server_list

    def server(self, name):
        """Return the engine called ``name``."""
        return self.servers.get(name)

    def learn(self, announcement, heard, lease):
        """Apply a load report and return the engine's record.

        ``heard`` is the time of arrival and ``lease`` the seconds for which
        the record stays valid.
        """
        name = announcement.backend_server
        record = self.servers.get(name)
        if record is None:
            record = servers.Server(announcement, heard, heard + lease)
            self.servers[name] = record
            self._server_list = list(self.servers.values())
        record.announcement = announcement
        record.heard = heard
        record.expires = heard + lease
        return record


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance; it places requests without consulting the others."""

    policy: object
    directory: Directory


def work_of(request):
    """Return a request as the decision code sees it."""
    shape = request.shape
    return work_module.Work(
        str(request.number),
        request.organisation.name,
        shape.name,
        "small",
        "",
        shape.priority,
        request.arrives,
        request.arrives + shape.timeout,
        prompt_tokens=request.prompt,
        prefix_hash=request.prefix,
        sheddable=shape.sheddable,
        repeatable=shape.repeatable,
        minimum_share=shape.minimum_share,
        weight=request.organisation.weight,
        first_token_ms=_milliseconds(shape.first_token),
        total_ms=_milliseconds(shape.total),
        between_tokens_ms=_milliseconds(shape.between_tokens),
    )


def _milliseconds(seconds):
    return None if seconds is None else seconds * 1000.0
