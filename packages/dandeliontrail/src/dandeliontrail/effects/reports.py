"""Effects that record metrics and log lines."""

import enum

import msgspec


class Metric(enum.Enum):
    """The metrics with histograms, each in milliseconds."""

    FIRST_TOKEN = "first_token_ms"
    BETWEEN_TOKENS = "between_tokens_ms"
    TOTAL = "total_ms"
    QUEUE_WAIT = "queue_wait_ms"


class Measure(msgspec.Struct):
    """A sample for the histograms of a class and of an organisation."""

    metric: Metric
    class_name: str
    organisation: str
    value_ms: float


class Log(msgspec.Struct):
    """One log line; ``fields`` become keys of the JSON object."""

    level: str
    message: str
    fields: dict = msgspec.field(default_factory=dict)
