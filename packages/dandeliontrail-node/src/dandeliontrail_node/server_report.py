"""Reports to the reducer what an answer says of the server that sent it."""

from dandeliontrail import events


class ServerReport:
    """Reports what the answer to one request says of its server.

    Made when the request is sent to ``incarnation``, a server's name and
    epoch; ``peer_address`` is that of the instance through which it is
    reached, '' for a direct path.
    """

    __slots__ = ("_host", "_incarnation", "_peer_address", "_sent_at")

    def __init__(self, host, incarnation, peer_address=""):
        self._host = host
        self._incarnation = incarnation
        self._peer_address = peer_address
        self._sent_at = host.clock.now()

    def submit_limit(self, texts, refused=False, brittle_texts=()):
        """Report the values that name a limit in an answer.

        ``texts`` name a rate and ``brittle_texts`` how much the server may
        turn away.  Without any, and without a known limit, there is nothing
        to report.
        """
        server, epoch = self._incarnation
        if not (texts or brittle_texts or self._is_limited(server)):
            return
        self._host.submit(
            events.LimitRead(
                server,
                epoch,
                texts,
                self._sent_at,
                refused,
                list(brittle_texts),
            )
        )

    def submit_sent_again(self):
        """Report that a further request is sent to the same server."""
        server, _ = self._incarnation
        if self._is_limited(server):
            self._host.submit(events.SentWithoutPermit(server))

    def submit_rest(self, texts, request_id):
        """Report the values that say how long the server wants to rest."""
        if not texts:
            return
        server, epoch = self._incarnation
        self._host.submit(
            events.RestAsked(
                server, epoch, texts, request_id, self._peer_address
            )
        )

    def submit_leaving(self, texts, request_id):
        """Report the values that say whether the server leaves."""
        if not texts:
            return
        server, epoch = self._incarnation
        self._host.submit(events.LeavingSaid(server, epoch, texts, request_id))

    def _is_limited(self, server):
        return self._host.state.limits.is_named(server)
