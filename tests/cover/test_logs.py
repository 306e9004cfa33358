"""All log lines about a request carry its id."""

import enum
import json
import logging
import sys

from dandeliontrail_lab import client
from dandeliontrail_node import jsonlog
import pytest
from pythonjsonlogger import msgspec as library

from tests.common import world

PROMPT = "a prompt that nobody else may read"


@pytest.fixture
def lines(caplog):
    """Return a function that returns the log records of a request."""
    caplog.set_level(logging.INFO, "test.i1")
    logging.getLogger("test.i1").propagate = True

    def records_of(request_id):
        return [
            record
            for record in caplog.records
            if getattr(record, "request_id", "") == request_id
        ]

    return records_of


def test_can_follow_a_request_by_its_id(lines, caplog):
    with world.World() as deployment:
        instance = deployment.instance("i1")
        deployment.engine("e1")
        deployment.apply({"lookup": {"priority": 0}})
        ask = client.Ask(instance.addresses["callers"], world.KEY, "", PROMPT)
        records = lines(client.send(ask).request_id)
    # Success is logged once: a separate line for it added no information and
    # was a third of the lines of a busy instance.
    assert [item.message for item in records] == [
        "request",
        "decision",
        "request ended",
    ]
    assert records[1].reason == "dispatched"
    last = records[-1]
    assert last.reason == "complete"
    assert (last.outcome, last.attempts, last.output_tokens) == (
        "complete",
        1,
        16,
    )
    assert getattr(last, "class") == "lookup"
    assert (last.organisation, last.backend_server) == ("lab", "e1")
    assert last.total_ms >= last.first_output_ms > 0
    formatter = jsonlog.make_logger("x", "info", "i1").handlers[0].formatter
    for record in caplog.records:
        line = formatter.format(record)
        assert json.loads(line)["instance"] == "i1"
        assert PROMPT not in line and world.KEY not in line


def test_refusal_is_logged_with_reason_and_status(lines):
    with world.World() as deployment:
        instance = deployment.instance("i1")
        deployment.engine("e1")
        deployment.apply({"lookup": {"priority": 0}})
        ask = client.Ask(instance.addresses["callers"], "wrong", "", PROMPT)
        records = lines(client.send(ask).request_id)
    assert records[-1].message == "request ended"
    assert (records[-1].status, records[-1].outcome) == (401, "not-run")
    assert records[-1].reason == "unknown_key"


class Colour(enum.Enum):
    RED = (1, 2)


class Unprintable:
    def __str__(self):
        raise ValueError("no text")

    __repr__ = __str__


def failed():
    """Return the exception information of an error."""
    try:
        raise ValueError("failed")
    except ValueError:
        return sys.exc_info()


@pytest.mark.parametrize(
    "value",
    [
        "text",
        ("a", 1, None),
        {"a": {1}},
        1.5,
        b"bytes",
        ValueError("wrong"),
        ValueError,
        Colour.RED,
        Colour,
        failed()[2],
        object,
        range(3),
        Unprintable(),
    ],
)
def test_lines_are_those_of_the_library(value):
    # The formatter replaces that of the library, which loads what no line
    # needs: a value that it cannot encode would end the request it is about.
    formatter = jsonlog.make_logger("x", "info", "i1").handlers[0].formatter
    expected = library.MsgspecFormatter(
        "{levelname}{message}{asctime}",
        style="{",
        rename_fields={"levelname": "level", "asctime": "time"},
        static_fields={"instance": "i1"},
    )
    record = logging.LogRecord(
        "x", logging.INFO, "", 0, "done %d", (1,), failed()
    )
    record.value = value
    assert formatter.format(record) == expected.format(record)
