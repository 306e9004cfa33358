"""An instance of the bench: a policy and what it is told of the engines."""

import dataclasses

from dandeliontrail.coordination import servers
from dandeliontrail.decisions import work as work_module


class Directory:
    """One instance's view of the engines, kept by late reports."""

    def __init__(self):
        self.servers = {}
        self._list = []

    def eligible(self, class_name, model, service):
        """Return all engines: the bench has one model."""
        return self._list

    def server(self, name):
        """Return the engine called ``name``."""
        return self.servers.get(name)

    def learn(self, announcement, heard, lease):
        """Take in a report; return the engine's record."""
        name = announcement.backend_server
        held = self.servers.get(name)
        if held is None:
            held = servers.Server(announcement, heard, heard + lease)
            self.servers[name] = held
            self._list = list(self.servers.values())
        held.announcement = announcement
        held.heard = heard
        held.expires = heard + lease
        return held


@dataclasses.dataclass(slots=True)
class Instance:
    """One of several that decide alone."""

    policy: object
    directory: Directory


def work_of(request):
    """Return a request as the decisions see it."""
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
        first_token_ms=_ms(shape.first_token),
        total_ms=_ms(shape.total),
        between_tokens_ms=_ms(shape.between_tokens),
    )


def _ms(seconds):
    return None if seconds is None else seconds * 1000.0
