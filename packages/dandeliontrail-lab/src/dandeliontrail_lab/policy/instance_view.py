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
        record.heard_at = heard
        record.expires = heard + lease
        return record


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance; it places requests without consulting the others."""

    policy: object
    directory: Directory


def work_of(request):
    """Return a request as the decision code sees it."""
    request_class = request.request_class
    return work_module.Work(
        str(request.number),
        request.organisation.name,
        request_class.name,
        "small",
        "",
        request_class.priority,
        request.arrives,
        request.arrives + request_class.timeout,
        prompt_tokens=request.prompt,
        prefix_hash=request.prefix,
        sheddable=request_class.sheddable,
        repeatable=request_class.repeatable,
        minimum_share=request_class.minimum_share,
        weight=request.organisation.weight,
        first_token_ms=_milliseconds(request_class.first_token),
        total_ms=_milliseconds(request_class.total),
        between_tokens_ms=_milliseconds(request_class.between_tokens),
    )


def _milliseconds(seconds):
    return None if seconds is None else seconds * 1000.0
