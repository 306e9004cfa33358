"""Applies gevent's monkey patching at the start of a program."""

import gevent
from gevent import events
from gevent import monkey


def patch(**options):
    """Patch the standard library without searching for plugins.

    gevent notifies plugins, declared by installed packages, of each patch.
    To find them it imports ``importlib.metadata``, and with it the parsers
    for mail and archives, and reads the folder of every package, all before
    the program listens for callers.  No package here declares a plugin.
    ``options`` are those of ``gevent.monkey.patch_all``.
    """
    events.notify_and_call_entry_points = events.notify
    gevent.config.format_context = [_format_context]
    monkey.patch_all(**options)


def _format_context(context):
    """Format what a failed greenlet was doing, as gevent does by default.

    gevent imports ``pprint``, and with it ``dataclasses`` and ``inspect``,
    when it creates its loop.
    """
    import pprint

    return pprint.saferepr(context)
