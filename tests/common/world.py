"""Real instances and simulated engines on loopback for end-to-end tests.

All of them run in the gevent loop of the test and start within a few
milliseconds, and a test can inspect the state of each.
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
# By default only this instance of a world is a keeper.
FIRST = "i1"
LISTENERS = ("callers", "backend_servers", "operators", "peers")
WAIT_SECONDS = 15.0


def wait_until(holds, seconds=WAIT_SECONDS):
    """Wait until ``holds()`` is true; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < deadline, "waited in vain"
        gevent.sleep(0.01)


def make_settings(
    name, domain="fd1", peers=(), keeper="", first=(FIRST,), **limits
):
    """Return the settings of an instance on free loopback ports.

    ``keeper`` is the data folder of a keeper, empty for other instances, and
    ``first`` names the bootstrap keepers.
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
    """Instances and engines that are stopped at the end of the test."""

    def __init__(self, keepers=(FIRST,)):
        self._stack = contextlib.ExitStack()
        self._keeper_names = keepers
        self._folders = {}
        self._exit_stacks = {}
        self.instances = []
        self.engines = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        return self._stack.__exit__(*exc_info)

    def instance(self, name, domain="fd1", tls=None, **limits):
        """Start an instance with those started before as its peers.

        A keeper that was stopped restarts with its data folder.  ``tls`` maps
        listeners to their TLS settings.
        """
        limits.setdefault("drain_notice_seconds", 0.0)
        peers = [item.addresses["peers"] for item in self.instances]
        cfg = make_settings(
            name,
            domain,
            peers,
            self._folder(name),
            self._keeper_names,
            **limits,
        )
        cfg.tls.update(tls or {})
        logger = logging.getLogger(f"test.{name}")
        started = instance.Instance(cfg, logger)
        exit_stack = self._stack.enter_context(contextlib.ExitStack())
        exit_stack.enter_context(started)
        self._exit_stacks[name] = exit_stack
        self.instances.append(started)
        return started

    def _folder(self, name):
        if name not in self._keeper_names:
            return ""
        if name not in self._folders:
            folder = tempfile.TemporaryDirectory()
            self._folders[name] = self._stack.enter_context(folder)
        return self._folders[name]

    def stop(self, started):
        """Stop an instance and keep its data folder."""
        self.instances.remove(started)
        self._exit_stacks.pop(started.host.state.identity.instance).close()

    def engine(
        self,
        name,
        domain="fd1",
        slots=8,
        step=0.002,
        announce=True,
        desk=None,
        fragile=False,
        software_version="",
    ):
        """Start an engine that announces itself to all instances in turn.

        A ``fragile`` engine is reached through a proxy that can drop the
        state of its connections: the :class:`paths.Path` ``engine.path``.
        """
        pace = batch.Pace(step=step, step_per_stream=0.0, prefill=0.0)
        started_engine = engine.Engine(
            name, domain, ["small"], slots, pace, desk
        )
        started_engine.software_version = software_version
        started_engine.start()
        self._stack.callback(started_engine.stop)
        self.engines.append(started_engine)
        if fragile:
            started_engine.path = self._stack.enter_context(
                paths.Path(started_engine.url)
            )
            started_engine.announced_url = started_engine.path.url
        if announce:
            addresses = [
                item.addresses["backend_servers"] for item in self.instances
            ]
            announcer = gevent.spawn(started_engine.announce, addresses)
            self._stack.callback(announcer.kill)
            wait_until(lambda: self.knows(name))
        return started_engine

    def raw_server(self, name, url, **fields):
        """Announce a server that the test runs, again every second."""
        announcement = {
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
        announcer = gevent.spawn(self._announce_repeatedly, announcement)
        self._stack.callback(announcer.kill)
        wait_until(lambda: self.knows(name))

    def hung_engine(self, name):
        """Announce an engine that accepts connections but never answers."""
        hung_server = sockets.raw_server(
            lambda sock, address: gevent.sleep(1000.0)
        )
        self.raw_server(name, self._stack.enter_context(hung_server))

    def _announce_repeatedly(self, announcement):
        while True:
            body = msgspec.json.encode(announcement)
            for item in self.instances:
                address = item.addresses["backend_servers"]
                engine.post_announcement(address, body, {})
            announcement["sequence"] += 1
            gevent.sleep(1.0)

    def knows(self, server):
        """Return whether every instance has registered a backend server."""
        return all(
            server in item.host.state.registry.servers
            for item in self.instances
        )

    def apply(self, classes, organisations=None):
        """Apply one pool of all engines, the classes and the organisations."""
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
        """Return whether every instance has applied ``version``.

        Each must also be ready.
        """
        return all(
            item.host.state.log.ready
            and item.host.state.store.version >= version
            for item in self.instances
        )
