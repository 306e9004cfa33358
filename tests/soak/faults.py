"""Faults of chance, in series and overlapping."""

import signal

import gevent

from tests.soak import proxy

GRACE_SECONDS = 8.0


class Faults:
    """Injects one fault after the other; several may last at a time.

    At most one keeper is down, frozen or without its disk at a time, as the
    deployment is declared to bear; after it has returned the others wait.
    """

    def __init__(self, world):
        self._world = world
        self._rng = world.rng
        self._keeper_busy = False
        self.done = []

    def run(self, seconds):
        """Inject faults for ``seconds`` and mend all of them."""
        jobs = []
        kinds = (
            self.entry_killed,
            self.entry_stopped,
            self.entry_frozen,
            self.keeper_killed,
            self.keeper_wiped,
            self.keeper_frozen,
            self.server_restarts,
            self.server_leaves,
            self.server_path,
            self.server_reset,
            self.all_keepers_killed,
            self.key_revoked,
        )
        left = seconds
        while left > 0:
            kind = self._rng.choice(kinds)
            self.done.append(kind.__name__)
            jobs.append(gevent.spawn(kind))
            pause = self._rng.uniform(0.2, 2.0)
            gevent.sleep(pause)
            left -= pause
        gevent.joinall(jobs, 30.0)

    def _pause(self, least, most):
        gevent.sleep(self._rng.uniform(least, most))

    def _entry(self):
        calm = [
            item
            for item in self._world.entries
            if item.running and not item.frozen
        ]
        return self._rng.choice(calm) if len(calm) > 1 else None

    def entry_killed(self):
        entry = self._entry()
        if entry:
            entry.kill()
            self._pause(0.1, 1.5)
            entry.start()

    def entry_stopped(self):
        """A planned stop; the process must end within the grace time."""
        entry = self._entry()
        if entry is None:
            return
        entry.signal(signal.SIGTERM)
        waited = 0.0
        while entry.running and waited < GRACE_SECONDS:
            gevent.sleep(0.1)
            waited += 0.1
        if entry.running and not entry.frozen:
            self._world.find("ends within the grace time", entry.ip)
        entry.kill()
        entry.start()

    def entry_frozen(self):
        entry = self._entry()
        if entry:
            entry.freeze()
            self._pause(0.5, 6.0)
            entry.thaw()

    def _with_keeper(self, call):
        if self._keeper_busy:
            return
        self._keeper_busy = True
        try:
            call(self._rng.choice(self._world.keepers))
            # Until it counts again.
            gevent.sleep(4.0)
        finally:
            self._keeper_busy = False

    def keeper_killed(self):
        def fault(keeper):
            keeper.kill()
            self._pause(0.1, 3.0)
            keeper.start()

        self._with_keeper(fault)

    def keeper_wiped(self):
        def fault(keeper):
            keeper.kill()
            keeper.wipe()
            self._pause(0.1, 1.5)
            keeper.start()

        self._with_keeper(fault)

    def keeper_frozen(self):
        def fault(keeper):
            keeper.freeze()
            self._pause(0.5, 5.0)
            keeper.thaw()

        self._with_keeper(fault)

    def all_keepers_killed(self):
        if self._keeper_busy:
            return
        self._keeper_busy = True
        for keeper in self._world.keepers:
            keeper.kill()
        self._pause(0.1, 0.8)
        for keeper in self._world.keepers:
            keeper.start()
        gevent.sleep(5.0)
        self._keeper_busy = False

    def _server(self):
        calm = [item for item in self._world.servers if item.state == "ready"]
        return self._rng.choice(calm) if len(calm) > 2 else None

    def server_restarts(self):
        """It crashes and another starts at its address."""
        server = self._server()
        if server:
            server.down = True
            server.proxy.reset()
            server.restart()
            server.down = False

    def server_leaves(self):
        server = self._server()
        if server:
            server.state = "draining"
            self._pause(4.0, 6.0)
            server.restart()

    def server_path(self):
        server = self._server()
        if server:
            modes = (
                proxy.Mode.DELAY,
                proxy.Mode.SILENT,
                proxy.Mode.NO_ANSWERS,
            )
            server.proxy.mode = self._rng.choice(modes)
            self._pause(0.5, 4.0)
            server.proxy.mode = proxy.Mode.PASS

    def server_reset(self):
        server = self._server()
        if server:
            server.proxy.reset()

    def key_revoked(self):
        self._world.revoke()
