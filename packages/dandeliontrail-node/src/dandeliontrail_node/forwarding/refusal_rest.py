"""Reads the rest of an answer with which a server refused a request.

Many servers send the head of an answer and its body in two segments.  The
request is retried elsewhere once the head has come; resetting the connection
at that moment would cost the next request a new one.
"""

import gevent

from . import backend_request

# A server that has more to say than fits into this time loses its connection.
REST_SECONDS = 0.2


def read_in_background(request):
    """Read the rest of the answer to ``request`` and release its connection.

    The caller must not use the request any more.
    """
    request.set_silence_timeout(None)
    gevent.spawn(_read, request)


def _read(request):
    try:
        with gevent.Timeout(REST_SECONDS):
            request.discard_body()
    except (backend_request.Broken, gevent.Timeout):
        # The release below then resets the connection.
        pass
    finally:
        request.release()
