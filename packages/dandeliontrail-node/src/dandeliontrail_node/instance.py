"""Puts one instance together and owns all that must be closed."""

import contextlib
import random
import signal
import time

import gevent
from gevent import event as gevent_event
from gevent import pool

import dandeliontrail
from dandeliontrail.coordination import messages

from . import clock
from . import connections
from . import drain
from . import engine_client
from . import host as host_module
from . import metrics
from . import peer_link
from . import tokens
from . import wsgi
from .listeners import backend_servers
from .listeners import callers
from .listeners import operators
from .listeners import peers


class Instance:
    """One running instance; use it as a context manager."""

    def __init__(self, cfg, logger):
        self._cfg = cfg
        self._logger = logger
        self._stack = contextlib.ExitStack()
        self._servers = {}
        self._stopping = gevent_event.Event()
        self._drain = drain.Drain(cfg.limits)
        self._doors = {}
        self.host = None
        self.addresses = {}

    def __enter__(self):
        """Open every listener and start to serve."""
        with self._stack:
            self._build()
            self._listen()
            self._start()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Close all, in the reverse order of opening."""
        return self._stack.__exit__(*exc_info)

    def _build(self):
        cfg = self._cfg
        limits = cfg.limits
        self._sender = messages.Sender(
            cfg.instance,
            "",
            cfg.failure_domain,
            cfg.region,
            time.time_ns(),
        )
        self._key = tokens.PeerKey(cfg.credentials.peer_key_file)
        link = peer_link.HttpPeerLink(self._sender, self._key)
        self._stack.callback(link.close)
        self._engines = engine_client.PooledEngineClient(
            limits.connect_seconds, limits.backend_silent_seconds
        )
        self._stack.callback(self._engines.close)
        identity = dandeliontrail.Identity(
            cfg.instance,
            cfg.failure_domain,
            cfg.region,
            self._sender.incarnation,
        )
        self.host = host_module.Host(
            dandeliontrail.new_reducer(
                identity,
                random.Random(),
                cfg.peers,
                voters=cfg.bootstrap_keepers,
            ),
            clock.MonotonicClock(),
            link,
            self._engines,
            metrics.Metrics(),
            self._logger,
        )

    def _apps(self):
        cfg = self._cfg
        given = cfg.credentials
        for name, path in (
            ("operators", given.operator_tokens_file),
            ("backend_servers", given.backend_tokens_file),
        ):
            self._doors[name] = tokens.doorkeeper(path, name in given.open)
        return {
            "callers": callers.CallersApp(
                self.host, self._engines, cfg.limits, self._drain
            ),
            "backend_servers": backend_servers.BackendServersApp(
                self.host, self._doors["backend_servers"]
            ),
            "operators": operators.OperatorsApp(
                self.host, self._doors["operators"]
            ),
            "peers": peers.PeersApp(self.host, self._key, cfg.limits),
        }

    def _listen(self):
        for name, app in self._apps().items():
            address = getattr(self._cfg.listen, name)
            server = connections.Server(
                address,
                wsgi.guard(app, self._logger),
                spawn=pool.Pool(self._cfg.limits.connections),
                log=None,
                error_log=self._logger,
                **self._tls(name),
            )
            server.start()
            self._stack.callback(server.stop, 0.1)
            self._servers[name] = server

    def _tls(self, name):
        tls = self._cfg.tls.get(name)
        if tls is None:
            return {}
        options = {"certfile": tls.certificate, "keyfile": tls.key}
        if tls.client_ca:
            options["ca_certs"] = tls.client_ca
            options["cert_reqs"] = 2
        return options

    def _start(self):
        addresses = {
            name: f"{server.server_host}:{server.server_port}"
            for name, server in self._servers.items()
        }
        self.addresses = addresses
        self._sender.address = addresses["peers"]
        ticker = self.host.start(addresses["peers"])
        self._stack.callback(ticker.kill)
        self._logger.info("listening", extra=addresses)

    def run(self):
        """Serve until SIGTERM, then drain."""
        gevent.signal_handler(signal.SIGTERM, self._on_term)
        gevent.signal_handler(signal.SIGINT, self._on_term)
        gevent.signal_handler(signal.SIGHUP, self._on_hup)
        self._stopping.wait()
        self._logger.info("draining")
        self._drain.wait(self.host)
        self._logger.info("drained")

    def _on_term(self):
        self._drain.begin()
        self.host.state.draining = True
        self._stopping.set()

    def _on_hup(self):
        for door in self._doors.values():
            try:
                door.reload()
            except dandeliontrail.SettingsError as exc:
                self._logger.error("reload failed", extra={"error": str(exc)})
        self._logger.info("reloaded")
