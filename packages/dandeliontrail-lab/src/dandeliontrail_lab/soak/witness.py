"""Simulated engines that count the requests they receive."""

import collections
import io
import re

from .. import batch
from .. import engine

REQUEST_NUMBER = re.compile(rb"#(\d+)#")
SLOTS = 8


class CountingEngine(engine.Engine):
    """A simulated engine that counts how often each request reaches it."""

    def __init__(self, name, failure_domain, run_counts):
        pace = batch.Pace(step=0.01, step_per_stream=0.0005)
        super().__init__(name, failure_domain, ["small"], SLOTS, pace)
        self.run_counts = run_counts

    def __call__(self, environ, start_response):
        """Count the request by the number in its body, then serve it."""
        if environ["REQUEST_METHOD"] == "POST":
            body = environ["wsgi.input"].read()
            environ["wsgi.input"] = io.BytesIO(body)
            environ["CONTENT_LENGTH"] = str(len(body))
            match = REQUEST_NUMBER.search(body)
            if match:
                self.run_counts[int(match[1])] += 1
        return super().__call__(environ, start_response)

    def restart(self):
        """Simulate a crash and an immediate restart with empty memory.

        The port stays the same, so that connections from before the crash
        coincide with new ones.
        """
        port = self._server.server_port
        self.stop()
        self.batch = batch.Batch(SLOTS, self.batch.pace)
        self.epoch += 1
        self.start(port)


def new_run_counts():
    """Return an empty counter of runs by request number."""
    return collections.Counter()
