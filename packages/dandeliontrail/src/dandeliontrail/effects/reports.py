"""Effects that tell people what happened."""

import dataclasses
import enum


class Metric(enum.Enum):
    """What the histograms hold, each in milliseconds."""

    FIRST_TOKEN = "first_token_ms"
    BETWEEN_TOKENS = "between_tokens_ms"
    TOTAL = "total_ms"
    QUEUE_WAIT = "queue_wait_ms"


@dataclasses.dataclass(slots=True)
class Measure:
    """One value for the histogram of a class and of an organisation."""

    metric: Metric
    class_name: str
    organisation: str
    value_ms: float


@dataclasses.dataclass(slots=True)
class Log:
    """One log line; ``fields`` become keys of the JSON object."""

    level: str
    message: str
    fields: dict = dataclasses.field(default_factory=dict)
