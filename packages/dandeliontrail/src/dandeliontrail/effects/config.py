"""Effects that answer operators."""

import dataclasses

from ..resources import changes


@dataclasses.dataclass(slots=True)
class WriteAnswered:
    """The result of the write that came in as ``write_id``."""

    write_id: str
    result: changes.Result
