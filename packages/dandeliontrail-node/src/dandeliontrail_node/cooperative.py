"""Makes the standard library cooperative at the start of a program."""

from gevent import events
from gevent import monkey


def patch(**options):
    """Patch the standard library, without asking for plugins.

    gevent announces each patch to plugins that installed packages declare.
    To find them it loads the reader of package metadata, and with it those of
    mail and archives, and reads every package's folder, while callers find
    nobody listening.  No package here declares any.  ``options`` are those of
    ``gevent.monkey.patch_all``.
    """
    events.notify_and_call_entry_points = events.notify
    monkey.patch_all(**options)
