"""Logging never blocks an instance and uses bounded memory."""

import json
import logging
import os
import time

from dandeliontrail_node import bounded_log
from dandeliontrail_node import jsonlog
import gevent
import pytest


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def made():
    reader, writer = os.pipe()
    clock = Clock()
    handler = bounded_log.BoundedHandler(writer, clock)
    logger = jsonlog.make_logger("test.bounded", "info", "i1", handler)
    yield logger, handler, clock, reader
    # Buffered lines must not be written later to another file that gets the
    # same descriptor number.
    if handler._flush_timer is not None:
        handler._flush_timer.kill()
    handler._buffer.clear()
    os.close(writer)
    os.close(reader)


def read_lines(reader, handler):
    handler.flush()
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        handler.flush()
    return [json.loads(line) for line in data.splitlines()]


def test_each_line_is_an_object_with_its_instance(made):
    logger, handler, _, reader = made
    logger.info("a decision", extra={"request_id": "r1"})
    (line,) = read_lines(reader, handler)
    assert line["message"] == "a decision"
    assert (line["instance"], line["request_id"]) == ("i1", "r1")


def test_a_stalled_reader_does_not_block_the_writer(made):
    # The reader of the log stops reading.  A pipe accepts 64 KiB and then
    # blocks its writer, which would stall every request of the instance.
    logger, _, clock, _ = made
    began = time.monotonic()
    for number in range(20_000):
        clock.now += 0.01
        logger.info("x" * 200, extra={"request_id": number})
    gevent.sleep(0.1)
    assert time.monotonic() - began < 10.0


def test_buffer_for_a_stalled_reader_is_bounded(made):
    logger, handler, clock, _ = made
    for _ in range(20_000):
        clock.now += 0.01
        logger.info("x" * 200)
    maximum = bounded_log.MAX_BUFFERED_BYTES + 4096
    assert handler._buffered_bytes <= maximum


def test_a_burst_drops_lines_about_success_and_reports_it(made):
    logger, handler, clock, reader = made
    for number in range(3000):
        logger.info("complete")
        if number % 30 == 0:
            logger.info("refused", extra={"important": True})
    clock.now += 2.0
    logger.info("later")
    lines = read_lines(reader, handler)
    messages = [line["message"] for line in lines]
    assert messages.count("refused") == 100
    assert messages.count("complete") < 700
    dropped = sum(
        line["counts"]["complete"] for line in lines if "counts" in line
    )
    assert dropped == 3000 - messages.count("complete")


def test_a_warning_is_written_at_once(made):
    logger, handler, _, reader = made
    logger.warning("stale")
    os.set_blocking(reader, False)
    assert b"stale" in os.read(reader, 4096)


def test_a_closed_reader_causes_no_error():
    reader, writer = os.pipe()
    handler = bounded_log.BoundedHandler(writer)
    logger = jsonlog.make_logger("test.gone", "info", "i1", handler)
    os.close(reader)
    logger.warning("not delivered")
    os.close(writer)
    assert logger.level == logging.INFO
