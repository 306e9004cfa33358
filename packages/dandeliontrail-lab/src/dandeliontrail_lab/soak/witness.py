"""Stand-in engines that remember which numbered request they were given."""

import collections
import io
import re

from .. import batch
from .. import engine

TAG = re.compile(rb"#(\d+)#")
SLOTS = 8


class Witness(engine.Engine):
    """An engine that counts how often each numbered request reached it."""

    def __init__(self, name, failure_domain, runs):
        pace = batch.Pace(step=0.01, step_per_stream=0.0005)
        super().__init__(name, failure_domain, ["small"], SLOTS, pace)
        self.runs = runs

    def __call__(self, environ, start_response):
        """Note the number in the body, then serve as any engine."""
        if environ["REQUEST_METHOD"] == "POST":
            body = environ["wsgi.input"].read()
            environ["wsgi.input"] = io.BytesIO(body)
            environ["CONTENT_LENGTH"] = str(len(body))
            found = TAG.search(body)
            if found:
                self.runs[int(found[1])] += 1
        return super().__call__(environ, start_response)

    def restart(self):
        """Crash and come back at once, with nothing in memory.

        The port stays, so that old connections and new ones meet.
        """
        port = self._server.server_port
        self.stop()
        self.batch = batch.Batch(SLOTS, self.batch.pace)
        self.epoch += 1
        self.start(port)


def new_runs():
    """Return an empty count of runs by request number."""
    return collections.Counter()
