"""Counts and logs exceptions of the program that did not end the instance.

A fault may recur in every tick, ten times a second.  All are counted; of
those at the same place, the log gets one a minute.
"""

from dandeliontrail import failures

LINE_INTERVAL_SECONDS = 60.0


class FaultLog(failures.FailureHandler):
    """Counts failures in ``counters`` and logs them at a bounded rate."""

    def __init__(self, logger, counters, clock):
        self._logger = logger
        self._counters = counters
        self._clock = clock
        self._next_lines = {}
        self._left_out = {}

    def component_failed(self, failure):
        """Count a failure, and log it if none like it was logged lately."""
        component = failure.component
        self._counters["faults_total"] += 1
        self._counters[
            f'component_faults_total{{component="{component}"}}'
        ] += 1
        place = (component, failure.event, type(failure.error))
        now = self._clock.now()
        if now < self._next_lines.get(place, now):
            self._left_out[place] = self._left_out.get(place, 0) + 1
            return
        self._next_lines[place] = now + LINE_INTERVAL_SECONDS
        self._log(failure, self._left_out.pop(place, 0))

    def _log(self, failure, left_out):
        fields = {
            "event": failure.event,
            "component": failure.component,
            "error": str(failure.error),
            "left_out": left_out,
        }
        if failure.source:
            fields["source"] = failure.source
        if failure.request_id:
            fields["request_id"] = failure.request_id
        self._logger.error(
            "event failed", extra=fields, exc_info=failure.error
        )
