"""Log lines of the leader about how many losses of voters writes survive.

There is one when a leader has led for a moment, and one for each change.  A
change for the better is logged once it has lasted, so that a voter that
answers now and then does not fill the log.
"""

from .. import effects
from . import quorum_log_core as core_module
from . import quorum_log_report as report_module
from . import quorum_log_voter_health as health_module

CHECK_INTERVAL_SECONDS = 0.25
# By then every voter that runs has answered a new leader.
FIRST_REPORT_AFTER_SECONDS = 1.5
BETTER_AFTER_SECONDS = 2.0
# Survives one loss or more: it matters no longer how many.
SAFE = 1

MESSAGES = {
    SAFE: ("info", "writes survive the loss of a voter"),
    0: ("warning", "one more loss of a voter would stop writes"),
    health_module.NO_MAJORITY: (
        "warning",
        "writes wait: no majority of the voters answers",
    ),
}


class LossReport:
    """Logs changes of the number of losses that writes survive."""

    def __init__(self, core, health):
        self._core = core
        self._health = health
        self._next_check_at = float("-inf")
        self._leads_since = None
        self._logged = None
        self._better_since = None

    def tick(self, now):
        """Return the log lines that are due."""
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        if not self._may_report(now):
            return []
        losses = min(self._health.losses_survived(now), SAFE)
        if not self._is_news(losses, now):
            return []
        self._logged = losses
        self._better_since = None
        return [self._line(losses, now)]

    def _may_report(self, now):
        """Return whether this replica has led long enough to tell.

        Of a single voter there is nothing to warn.
        """
        if self._core.role is not core_module.Role.LEADER:
            self._leads_since = None
            self._logged = None
            self._better_since = None
            return False
        if self._leads_since is None:
            self._leads_since = now
        is_new = now - self._leads_since < FIRST_REPORT_AFTER_SECONDS
        return not is_new and len(self._core.log.voters) > 1

    def _is_news(self, losses, now):
        if self._logged is None or losses < self._logged:
            return True
        if losses == self._logged:
            self._better_since = None
            return False
        if self._better_since is None:
            self._better_since = now
        return now - self._better_since >= BETTER_AFTER_SECONDS

    def _line(self, losses, now):
        level, message = MESSAGES[losses]
        answering = self._health.answering(now)
        voters = self._core.log.voters
        fields = {
            "answering": [report_module.label(item) for item in answering],
            "silent": [
                report_module.label(item)
                for item in voters
                if item not in answering
            ],
            "spares": [item.name for item in self._health.spares(now)],
            "important": True,
        }
        return effects.Log(level, message, fields)
