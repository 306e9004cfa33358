"""A retry network in which cuts hold bytes back instead of dropping them.

What an entry sends over a held path arrives when the path is released, also
if the entry has given the attempt up meanwhile, as behind a proxy or at a
server that reads late.  Connections can be opened all the time.
"""

from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail.resources import revisions

from tests.common import retry_network

CHECK_SECONDS = 0.002
REVISION = revisions.Revision(
    1,
    "",
    [
        revisions.Route(
            "read",
            "h",
            "/read/",
            [revisions.Split(retry_network.SERVICE)],
            retry_network.TIMEOUT_SECONDS,
            target=0.2,
            repeatable=True,
            max_attempts=3,
        )
    ],
    [revisions.Service(retry_network.SERVICE)],
)


class HeldNetwork(retry_network.RetryNetwork):
    """A retry network whose paths to servers can be held."""

    revision = REVISION

    def __init__(self, *args, **options):
        self._held = {}
        super().__init__(*args, **options)

    def hold(self, servers, entries=None):
        """Hold the paths between some entries, all by default, and servers."""
        for entry in self.entries if entries is None else entries:
            for server in servers:
                self._held.setdefault((entry, server), [])

    def release(self):
        """Deliver all that was held, at once."""
        held, self._held = self._held, {}
        for calls in held.values():
            for call in calls:
                call()

    def _over_path(self, node, server, call):
        """Run ``call`` now, or when the path is released."""
        calls = self._held.get((node.name, server))
        if calls is None:
            call()
        else:
            calls.append(call)

    def _apply_effects(self, node, out):
        super()._apply_effects(node, out)
        for effect in out:
            if isinstance(effect, effects.CheckPath) and not effect.peer:
                self._check_path(node, effect)

    def _check_path(self, node, check):
        event = events.PathChecked(check.backend_server, check.epoch, True)
        self.call_later(
            CHECK_SECONDS, lambda: self._apply_if_current(node, event)
        )

    def _dispatched(self, node, effect):
        super()._dispatched(node, effect)
        silent_after = effect.patience.first
        if silent_after is not None:
            event = events.AttemptSilent(effect.request_id, effect.attempt)
            self.call_later(
                silent_after, lambda: self._report_silence(node, effect, event)
            )

    def _report_silence(self, node, effect, event):
        life = node.reducer.lives.get(effect.request_id)
        if life is not None and not life.first_output:
            self._apply_if_current(node, event)

    def _arrived(self, node, effect):
        arrive = super()._arrived
        self._over_path(
            node, effect.backend_server, lambda: arrive(node, effect)
        )

    def _answered(self, node, effect, answer):
        answered = super()._answered
        self._over_path(
            node,
            effect.backend_server,
            lambda: self._answer_attempt(node, effect, answer, answered),
        )

    def _answer_attempt(self, node, effect, answer, answered):
        """Deliver an answer unless its attempt was given up."""
        life = node.reducer.lives.get(effect.request_id)
        if life is None or not life.has_attempt(effect.attempt):
            return
        is_first_of_pair = life.hedge is not None
        if answer == "serve" and is_first_of_pair:
            ids = (effect.request_id, effect.attempt)
            self._apply_if_current(node, events.AttemptSpoke(*ids))
        answered(node, effect, answer)
