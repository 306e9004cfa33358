"""Events that change the declared objects."""

import dataclasses

from ..resources import changes


@dataclasses.dataclass(slots=True)
class WriteSubmitted:
    """An operator's change; ``write_id`` pairs it with its answer."""

    write_id: str
    change: changes.Change
