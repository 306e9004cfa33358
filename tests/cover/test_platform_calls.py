"""Calls to the platform: their wire format and their outcomes."""

import contextlib
import types

import dandeliontrail
from dandeliontrail.components import duties_state
from dandeliontrail.coordination import leases
from dandeliontrail.coordination import server_counts
from dandeliontrail import effects
from dandeliontrail import events
from dandeliontrail_node import clock
from dandeliontrail_node import duty_client
from dandeliontrail_node import leased_call
from dandeliontrail_node import metrics
from dandeliontrail_platform import duties
from dandeliontrail_platform import settings_file
import gevent
from gevent import pywsgi
from gevent import server as gevent_server
import msgspec
import pytest

from tests.common import platform_world

DutyAnswer = events.DutyAnswer
HEAD = b"HTTP/1.1 200 OK\r\n"
# What is read, and what the buffers of a connection hold.
MAX_SENT_BYTES = 16 * 1024 * 1024
REPORT = effects.ReportUsage(353445120, {"hule930": 412, "fida11": 7})
SCALE = effects.SetServerCount(
    server_counts.Group("huvo11a", "sandybay-a", True), 6, 9
)


class Platform:
    """A fake platform that records requests and gives a fixed answer."""

    def __init__(self):
        self.requests = []
        self.status = "200 OK"
        self.delay_seconds = 0.0
        self.server = pywsgi.WSGIServer(("127.0.0.1", 0), self, log=None)
        self.server.start()
        self.url = f"http://127.0.0.1:{self.server.server_port}"

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.requests.append(
            (
                environ["PATH_INFO"],
                environ["HTTP_X_DANDELIONTRAIL_DUTY_HOLDER"],
                environ["HTTP_X_DANDELIONTRAIL_FENCING_TOKEN"],
                msgspec.json.decode(body),
            )
        )
        gevent.sleep(self.delay_seconds)
        start_response(self.status, [])
        return [b"{}"]


class Caller:
    """A fake host whose keeper holds the lease, for the duty client."""

    def __init__(self, platform):
        identity = dandeliontrail.Identity("k1", "fd1", "r1", 1)
        options = duties_state.DutyOptions(
            reports_usage=True, terms=leases.LeaseTerms(1.5, 0.4, 3.0)
        )
        state = duties_state.new_duties_state(identity, options)
        self.lease = state.lease
        self.clock = clock.MonotonicClock()
        self.answers = []
        self.metrics = metrics.Metrics()
        self.state = types.SimpleNamespace(duties=state)
        self.client = duty_client.DutyClient(
            self, platform.url, duties.PlatformDuties("core-a-1")
        )
        self.set_lease(12, 0.0)

    def submit(self, event):
        self.answers.append(event)

    def set_lease(self, fencing, since):
        now = self.clock.now()
        self.lease.grant = leases.Grant(fencing, now + 1.0, now + since)

    def call(self, call, fencing=12):
        self.client.perform(effects.PerformDuty(call, fencing))
        return self.answers[-1].answer


@pytest.fixture
def platform():
    fake = Platform()
    yield fake
    fake.server.stop(0.1)


def test_calls_have_the_format_of_the_platform(platform):
    caller = Caller(platform)
    assert caller.call(REPORT) is DutyAnswer.TAKEN
    assert caller.call(SCALE) is DutyAnswer.TAKEN
    counts = {"window_index": 353445120, "counts": REPORT.counts}
    server_count = {
        "service": "huvo11a",
        "zone": "sandybay-a",
        "desired_count": 6,
        "spot": True,
    }
    assert platform.requests == [
        ("/usage", "core-a-1", "12", counts),
        ("/scale", "core-a-1", "12", server_count),
    ]
    name = 'platform_calls_total{answer="taken"}'
    assert caller.metrics.counters[name] == 2


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        ("409 Conflict", DutyAnswer.REFUSED),
        ("429 Too Many", DutyAnswer.BUSY),
        ("500 Broken", DutyAnswer.NO_ANSWER),
    ],
)
def test_status_codes_map_to_answers(platform, status, answer):
    platform.status = status
    assert Caller(platform).call(SCALE) is answer


def test_a_call_without_an_answer_times_out(platform):
    platform.delay_seconds = 2.0
    caller = Caller(platform)
    began = caller.clock.now()
    assert caller.call(REPORT) is DutyAnswer.NO_ANSWER
    assert caller.clock.now() - began < 1.0


def test_an_exception_in_the_client_ends_the_call(platform, monkeypatch):
    # An unexpected exception occurs during a call.  If the call did not end,
    # the keeper would wait for it forever and report no further window.
    def fail(*args):
        raise ValueError("unforeseen")

    caller = Caller(platform)
    monkeypatch.setattr(leased_call.LeasedCall, "post", fail)
    assert caller.call(REPORT) is DutyAnswer.NO_ANSWER
    assert "unforeseen" in caller.answers[-1].detail


@pytest.mark.parametrize(("fencing", "since"), [(13, 0.0), (12, 0.5)])
def test_nothing_is_sent_under_a_lease_that_is_no_longer_held(
    platform, fencing, since
):
    # A process is paused before it sends a call.  When it continues, another
    # instance holds the lease, or the lease was granted again and the waiting
    # period after the grant is not over.
    caller = Caller(platform)
    caller.set_lease(fencing, since)
    assert caller.call(REPORT) is DutyAnswer.NOT_SENT
    assert platform.requests == []


def test_the_settings_say_which_calls_are_made():
    text = platform_world.SETTINGS.format(
        node="n1",
        ip="127.0.0.1",
        zone="z1",
        callers=1,
        ready=2,
        control=3,
        inner=4,
        seed="",
        data_dir="",
        revoke_ms=5000,
        tolerated=1,
    )
    without_duties = duties.options(settings_file.parse(text).duties)
    assert not without_duties.any
    text += "cloud_api.address=10.200.0.1:80\ncloud_api.duties=usage\n"
    text += "bounds.usage_window_s=5\nbounds.lease_ms=3000\n"
    with_duties = duties.options(settings_file.parse(text).duties)
    assert (with_duties.reports_usage, with_duties.orders_servers) == (
        True,
        False,
    )
    assert (
        with_duties.window,
        with_duties.terms.lease,
        with_duties.terms.turn,
    ) == (5.0, 1.5, 3.0)


class EndlessPlatform:
    """Sends a head or a body without end; ``sent`` counts its bytes."""

    def __init__(self, prefix, repeated):
        self._prefix = prefix
        self._repeated = repeated
        self.sent = 0
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.url = f"http://127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, address):
        sock.recv(65536)
        with contextlib.suppress(OSError):
            sock.sendall(self._prefix)
            while True:
                sock.sendall(self._repeated)
                self.sent += len(self._repeated)


@pytest.mark.parametrize(
    "prefix, repeated",
    [
        (HEAD + b"X: ", b"x" * 65536),
        (HEAD, b"X: y\r\n" * 8192),
        (HEAD + b"\r\n", b"x" * 65536),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1;x=y\r\nz\r\n" * 8192,
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 100 C\r\n\r\n" * 4096),
    ],
    ids=["a header", "headers", "a body", "chunks", "interim answers"],
)
def test_an_answer_without_end_is_cut_off(prefix, repeated):
    # Guards against a keeper that runs out of memory.
    endless = EndlessPlatform(prefix, repeated)
    caller = Caller(endless)
    assert caller.call(REPORT) is DutyAnswer.NO_ANSWER
    assert endless.sent < MAX_SENT_BYTES
    endless.server.stop(0.1)
