"""Reports to the reducer which limit a server names in an answer."""

from dandeliontrail import events


class LimitReport:
    """Reports what the answer to one request says of its server's limit.

    Made when the request is sent to ``incarnation``, a server's name and
    epoch.
    """

    __slots__ = ("_host", "_incarnation", "_sent_at")

    def __init__(self, host, incarnation):
        self._host = host
        self._incarnation = incarnation
        self._sent_at = host.clock.now()

    def submit(self, texts, refused=False, brittle_texts=()):
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

    def _is_limited(self, server):
        return self._host.state.limits.is_named(server)
