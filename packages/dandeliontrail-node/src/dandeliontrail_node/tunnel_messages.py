"""What two instances say to each other to open a tunnel to a server.

The request is signed like a batch of messages.  It is answered by ``101
Switching Protocols`` (RFC 9110, section 7.8), after which the connection
carries the bytes of the connection to the server, those of the server in
frames (:mod:`.tunnel_frames`), or by a refusal.
"""

import msgspec

from dandeliontrail.decisions import tunnel_admission

PATH = "/peer/v1/tunnel"
# Releases before the frames speak "dandeliontrail-tunnel".
PROTOCOL = "dandeliontrail-framed-tunnel"
REFUSED_STATUS = 503
SWITCHED_STATUS = 101


class TunnelRequest(msgspec.Struct):
    """Asks for a tunnel to the start ``epoch`` of a backend server.

    ``origin`` is the instance that asks, and ``request_id`` the caller's
    request, for the log.
    """

    origin: str
    backend_server: str
    epoch: int
    url: str
    request_id: str = ""


class TunnelRefused(msgspec.Struct):
    """The body of the answer if no tunnel is opened.

    With ``rests`` the server asked the peer for rest.  The refusal is then
    ``SERVER``, as earlier releases know no other.
    """

    refusal: tunnel_admission.Refusal
    rests: bool = False


def refused(refusal):
    """Return the message for a refusal."""
    if refusal is tunnel_admission.Refusal.REST:
        return TunnelRefused(tunnel_admission.Refusal.SERVER, True)
    return TunnelRefused(refusal)
