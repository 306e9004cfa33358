"""Assembles one instance and owns every resource that must be closed."""

import contextlib
import pathlib
import random
import resource
import signal
import time

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket
import msgspec

import dandeliontrail
from dandeliontrail.coordination import quorum_log_records
from dandeliontrail.decisions import client_limits
from dandeliontrail.decisions import held_bytes
from dandeliontrail import events

from . import client_report
from . import clock
from . import disk
from . import disk_writer
from . import drain
from . import early_hangup
from . import early_listener
from . import engine_client
from . import host as host_module
from . import http_server
from . import listener_factory as listener_factory_module
from . import listener_room
from . import listener_tls
from . import metrics
from . import peer_link
from . import retrying_writer
from . import settings
from . import tokens
from . import usage_disk
from . import wsgi
from .forwarding import tunnels
from .listeners import peers
from .listeners import tunnel_app


# Time for the final messages to be sent; the connections are open already.
LEAVE_SECONDS = 0.1
# Time for the answers to requests that came while the instance left.
LAST_ANSWERS_SECONDS = 0.1


class Instance:
    """One instance, running between ``__enter__`` and ``__exit__``.

    ``listener_factory`` provides the listeners beside the peer listener; by
    default it is :class:`.standard_listeners.StandardListeners`.  Without
    ``settings_path``, SIGHUP does not reload the log level.
    """

    def __init__(self, cfg, logger, settings_path=None, listener_factory=None):
        self._cfg = cfg
        self._listener_factory = listener_factory or _standard_listeners()
        self._settings_path = settings_path
        self._logger = logger
        self._stack = contextlib.ExitStack()
        self._servers = {}
        self._stopping = gevent_event.Event()
        self.drain_state = drain.DrainState(cfg.limits)
        self._tls = listener_tls.ListenerTls(cfg.tls)
        self._client_limits = _client_limits(cfg.limits)
        self._account = held_bytes.HeldBytes(self._client_limits.held_bytes)
        self._report = None
        self.host = None
        self.addresses = {}

    def __enter__(self):
        """Open all listeners and start serving."""
        with self._stack:
            self._build()
            self._listen()
            self._start()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        """Close all resources in the reverse order of opening."""
        return self._stack.__exit__(*exc_info)

    def _build(self):
        cfg = self._cfg
        limits = cfg.limits
        self._key = tokens.PeerKey(cfg.credentials.peer_key_file)
        identity = dandeliontrail.Identity(
            cfg.instance,
            cfg.failure_domain,
            cfg.region,
            time.time_ns(),
        )
        monotonic = clock.MonotonicClock()
        registry = metrics.Metrics()
        self._report = client_report.ClientReport(
            self._logger, registry.counters
        )
        link = peer_link.HttpPeerLink(
            identity,
            self._key,
            monotonic,
            registry.counters,
            limits.peer_bytes_per_second,
            lambda: self._tls.client_context("peers"),
        )
        self._stack.callback(link.close)
        self._link = link
        self._engines = engine_client.PooledEngineClient(
            limits.connect_seconds, limits.backend_silent_seconds
        )
        self._stack.callback(self._engines.close)
        storage = self._open_storage()
        usage_storage = self._open_storage("usage")
        self.host = host_module.Host(
            self._new_reducer(identity, storage),
            monotonic,
            link,
            self._engines,
            registry,
            self._logger,
        )
        link.receive_batch = self.host.receive_batch
        if storage:
            writer = disk_writer.DiskWriter(
                storage, self.host.submit, self._logger
            )
            self._stack.callback(writer.close)
            self.host.attach_disk(writer)
        if usage_storage:
            usage_writer = usage_disk.UsageDisk(usage_storage, self._logger)
            self._stack.callback(usage_writer.close)
            self.host.attach_usage_disk(usage_writer)

    def _open_storage(self, folder=""):
        """Return the storage in ``folder`` of the data folder.

        Returns ``None`` on an instance without a disk.
        """
        keeper = self._cfg.keeper
        if keeper is None:
            return None
        path = pathlib.Path(keeper.data_dir) / folder
        storage = retrying_writer.open_when_writable(
            lambda: disk.FileStorage(path), self._logger
        )
        self._stack.callback(storage.close)
        return storage

    def _new_reducer(self, identity, storage):
        cfg = self._cfg
        keeper = None
        if storage:
            keeper = quorum_log_records.Keeper(storage.folder, *storage.load())
        elif not cfg.bootstrap_keepers:
            self._logger.warning(
                "no bootstrap_keepers: the configuration is kept in memory"
                " by this instance alone"
            )
        return dandeliontrail.new_reducer(
            identity,
            random.Random(),
            cfg.peers,
            keeper=keeper,
            bootstrap=cfg.bootstrap_keepers,
            keeps_usage=storage is not None,
            **self._listener_factory.reducer_options(),
        )

    def _listen(self):
        parts = listener_factory_module.InstanceParts(
            self._cfg,
            self.host,
            self._engines,
            self.drain_state,
            self._logger,
            self.on_term,
            self._stack,
            self._account,
        )
        self.host.client_account = self._account
        self.host.most_tunnels = self._client_limits.tunnels
        listeners = [
            *self._listener_factory.listeners(parts),
            listener_factory_module.Listener(
                "peers",
                self._cfg.listen.peers,
                self._new_peers_app(),
                use=listener_factory_module.ListenerUse.PEERS,
            ),
        ]
        for item in listeners:
            server = http_server.Server(
                _take_early_socket(item.address) or item.address,
                self.drain_state.close_connections(
                    wsgi.catch_errors(item.app, self._logger)
                ),
                item.limits or self._cfg.limits,
                self._logger,
                lambda: self.drain_state.draining,
                self._room_of(item.use),
                **self._tls.options(item.name),
            )
            server.start()
            self._stack.callback(server.stop, 0.1)
            self._servers[item.name] = server

    def _room_of(self, use):
        """Return what a listener may use of memory and descriptors."""
        stage = held_bytes.Stage.BODY
        if use is listener_factory_module.ListenerUse.PEERS:
            stage = held_bytes.Stage.PEER
        return listener_room.ListenerRoom(
            self._account,
            getattr(self._client_limits, use.value),
            stage,
            self._report,
        )

    def _new_peers_app(self):
        """Return the app for other instances: batches, and tunnels."""
        cfg = self._cfg
        pools = self.host.connection_pools
        for pool in pools:
            pool.tunnels = tunnels.TunnelOpener(
                cfg.instance,
                self._key,
                cfg.limits.connect_seconds,
                lambda: self._tls.client_context("peers"),
            )
        tunnel = tunnel_app.TunnelApp(
            self.host,
            self._key,
            pools[0] if pools else None,
            self.drain_state,
        )
        return peers.PeersApp(
            self.host, self._key, cfg.limits, self._link, tunnel
        )

    def _start(self):
        addresses = {
            name: f"{server.server_host}:{server.server_port}"
            for name, server in self._servers.items()
        }
        self.addresses = addresses
        advertised = self._cfg.listen.peers_advertised
        ticker = self.host.start(advertised or addresses["peers"])
        self._stack.callback(ticker.kill)
        self._logger.info("listening", extra=addresses)
        self._logger.info(
            "client limits", extra=msgspec.structs.asdict(self._client_limits)
        )

    def run(self):
        """Serve until SIGTERM or SIGINT, then drain."""
        gevent.signal_handler(signal.SIGTERM, self.on_term)
        gevent.signal_handler(signal.SIGINT, self.on_term)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        if early_hangup.take_pending():
            self.reload()
        self._stopping.wait()
        self._logger.info("draining")
        self.drain()
        self._logger.info("drained")

    def drain(self):
        """Finish the accepted requests, then leave the group of instances."""
        self.begin_drain()
        self.drain_state.wait(self.host, self._is_reading)
        self._leave()
        self._end_connections()

    def _is_reading(self, since):
        return any(
            server.connections.is_reading(since)
            for server in self._servers.values()
        )

    def _end_connections(self):
        """End the listeners and their connections, all at the same time."""
        gevent.joinall(
            [
                gevent.spawn(server.end_connections, LAST_ANSWERS_SECONDS)
                for server in self._servers.values()
            ]
        )

    def _leave(self):
        """Announce the departure and allow time for sending the message."""
        self.host.submit(events.Left())
        gevent.sleep(LEAVE_SECONDS)

    def begin_drain(self):
        """Report that this instance is no longer ready."""
        if not self.drain_state.draining:
            self._begin_shutdown()

    def on_term(self):
        """Start to drain; a second call stops at once, if set so."""
        self._begin_shutdown()
        self._stopping.set()

    def _begin_shutdown(self):
        self.drain_state.begin()
        self.host.state.draining = True
        self.host.submit(events.ShutdownBegan())

    def reload(self):
        """Reload keys, tokens, certificates and the log level.

        A part that cannot be read keeps its present value; the others are
        reloaded.
        """
        for part in (
            *self._listener_factory.reloadable(),
            self._key,
            self._tls,
        ):
            self._reload_part(part.reload)
        if self._settings_path:
            self._reload_part(self._reload_log_level)
        self._listener_factory.reloaded(self.host)
        self._logger.info("reloaded")

    def _reload_part(self, reload):
        try:
            reload()
        except dandeliontrail.SettingsError as exc:
            self._logger.error("reload failed", extra={"error": str(exc)})

    def _reload_log_level(self):
        cfg = settings.load(self._settings_path)
        self._logger.setLevel(cfg.log.level.upper())


def _client_limits(limits):
    """Return what clients may use of the memory and the descriptors."""
    descriptors = limits.descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return client_limits.derive(limits.memory_bytes, descriptors)


def _standard_listeners():
    # A program with listeners of its own does not load the standard ones.
    from . import standard_listeners

    return standard_listeners.StandardListeners()


def _take_early_socket(address):
    """Return the listening socket that was opened early, or ``None``."""
    descriptor = early_listener.take(address)
    if descriptor is None:
        return None
    sock = gevent_socket.socket(fileno=descriptor)
    sock.setblocking(False)
    return sock
