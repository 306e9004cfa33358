"""A small world on loopback: real instances and stand-in engines.

All run in the one gevent loop of the test, so that a test can reach into
any of them, and cost a few milliseconds to start.
"""

import contextlib
import logging
import tempfile
import time

import gevent
import msgspec

from dandeliontrail_ctl import api
from dandeliontrail_lab import batch
from dandeliontrail_lab import engine
from dandeliontrail_lab import paths
from dandeliontrail_node import instance
from dandeliontrail_node import settings

from tests.common import sockets

KEY = "test-key"
# The first instance of each world is its one keeper.
FIRST = "i1"
LISTENERS = ("callers", "backend_servers", "operators", "peers")
WAIT_SECONDS = 15.0


def wait_until(holds, seconds=WAIT_SECONDS):
    """Wait until ``holds()`` is true, and fail when it never is."""
    deadline = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < deadline, "waited in vain"
        gevent.sleep(0.01)


def make_settings(
    name, domain="fd1", peers=(), keeper="", first=(FIRST,), **limits
):
    """Return the settings of an instance on free ports of loopback.

    ``keeper`` is its folder where it has one, ``first`` names the first
    keepers.
    """
    return settings.Settings(
        instance=name,
        failure_domain=domain,
        region="r1",
        listen=settings.Listen(*["127.0.0.1:0"] * len(LISTENERS)),
        peers=list(peers),
        keeper=settings.Keeper(keeper) if keeper else None,
        bootstrap_keepers=list(first),
        credentials=settings.Credentials(open=list(LISTENERS[1:])),
        limits=settings.LimitSettings(**limits),
    )


class World:
    """Instances and engines that are closed with the test."""

    def __init__(self, keepers=(FIRST,)):
        self._stack = contextlib.ExitStack()
        self._keepers = keepers
        self._folders = {}
        self._closers = {}
        self.instances = []
        self.engines = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        return self._stack.__exit__(*exc_info)

    def instance(self, name, domain="fd1", tls=None, **limits):
        """Start an instance that knows those started before.

        One that was stopped starts again from its folder.  ``tls`` has the
        settings of listeners that speak TLS.
        """
        limits.setdefault("drain_notice_seconds", 0.0)
        peers = [item.addresses["peers"] for item in self.instances]
        cfg = make_settings(
            name, domain, peers, self._folder(name), self._keepers, **limits
        )
        cfg.tls.update(tls or {})
        logger = logging.getLogger(f"test.{name}")
        started = instance.Instance(cfg, logger)
        closer = self._stack.enter_context(contextlib.ExitStack())
        closer.enter_context(started)
        self._closers[name] = closer
        self.instances.append(started)
        return started

    def _folder(self, name):
        if name not in self._keepers:
            return ""
        if name not in self._folders:
            folder = tempfile.TemporaryDirectory()
            self._folders[name] = self._stack.enter_context(folder)
        return self._folders[name]

    def stop(self, started):
        """Stop an instance; its folder stays."""
        self.instances.remove(started)
        self._closers.pop(started.host.state.identity.instance).close()

    def engine(
        self,
        name,
        domain="fd1",
        slots=8,
        step=0.002,
        announce=True,
        desk=None,
        fragile=False,
    ):
        """Start an engine that announces itself to all instances in turn.

        A ``fragile`` one stands behind a path that can lose track of its
        connections: ``engine.path`` then is a :class:`paths.Path`.
        """
        pace = batch.Pace(step=step, step_per_stream=0.0, prefill=0.0)
        served = engine.Engine(name, domain, ["small"], slots, pace, desk)
        served.start()
        self._stack.callback(served.stop)
        self.engines.append(served)
        if fragile:
            served.path = self._stack.enter_context(paths.Path(served.url))
            served.announced_url = served.path.url
        if announce:
            addresses = [
                item.addresses["backend_servers"] for item in self.instances
            ]
            announcer = gevent.spawn(served.announce, addresses)
            self._stack.callback(announcer.kill)
            wait_until(lambda: self.knows(name))
        return served

    def raw_server(self, name, url, **fields):
        """Announce a server of the test's own, once and for a while."""
        made = {
            "backend_server": name,
            "epoch": 1,
            "sequence": 1,
            "kind": "model_engine",
            "url": url,
            "models": [{"name": "small"}],
            "slots": 8,
            "lease": 3,
            **fields,
        }
        announcer = gevent.spawn(self._announce_raw, made)
        self._stack.callback(announcer.kill)
        wait_until(lambda: self.knows(name))

    def hung_engine(self, name):
        """Announce an engine that takes connections and says nothing."""
        hung = sockets.raw_server(lambda sock, address: gevent.sleep(1000.0))
        self.raw_server(name, self._stack.enter_context(hung))

    def _announce_raw(self, made):
        while True:
            body = msgspec.json.encode(made)
            for item in self.instances:
                address = item.addresses["backend_servers"]
                engine.post_announcement(address, body, {})
            made["sequence"] += 1
            gevent.sleep(1.0)

    def knows(self, server):
        """Tell whether every instance gives work to a backend server."""
        return all(
            server in item.host.state.registry.servers
            for item in self.instances
        )

    def apply(self, classes, organisations=None):
        """Declare one pool of all engines, the classes and a caller."""
        organisations = organisations or {
            "lab": {
                "keys": [engine.key_hash(KEY)],
                "classes": list(classes),
                "default_class": next(iter(classes)),
            }
        }
        server = api.Api(f"http://{self.instances[0].addresses['operators']}")
        server.put("backendpools", "all", {"select": {}})
        for name, spec in classes.items():
            spec = {"pools": ["all"], **spec}
            server.put("requestclasses", name, spec)
        for name, spec in organisations.items():
            written = server.put("organisations", name, spec)
        wait_until(lambda: self.in_force(written["version"]))

    def in_force(self, version):
        """Tell whether every instance has applied ``version`` and serves."""
        return all(
            item.host.state.log.ready
            and item.host.state.store.version >= version
            for item in self.instances
        )
