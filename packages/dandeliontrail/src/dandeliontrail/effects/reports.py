"""Effects that tell people what happened."""

import enum

import msgspec


class Metric(enum.Enum):
    """What the histograms hold, each in milliseconds."""

    FIRST_TOKEN = "first_token_ms"
    BETWEEN_TOKENS = "between_tokens_ms"
    TOTAL = "total_ms"
    QUEUE_WAIT = "queue_wait_ms"


class Measure(msgspec.Struct):
    """One value for the histogram of a class and of an organisation."""

    metric: Metric
    class_name: str
    organisation: str
    value_ms: float


class Log(msgspec.Struct):
    """One log line; ``fields`` become keys of the JSON object."""

    level: str
    message: str
    fields: dict = msgspec.field(default_factory=dict)
