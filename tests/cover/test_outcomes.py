"""Tests what callers get if they leave or return, or an instance ends."""

from dandeliontrail_lab import client
import gevent
import geventhttpclient

from tests.common import sockets
from tests.common import world

LOOKUP = {"lookup": {"priority": 0}}
SUMMARY = {"summary": {"repeatable": False}}


def ask(instance, **fields):
    address = instance.addresses["callers"]
    return client.Ask(address, world.KEY, "", "hello", **fields)


def leave_early(instance, **fields):
    """Send a request and close its connection after the first words."""
    asked = ask(instance, **fields)
    host, port = asked.address.split(":")
    caller = geventhttpclient.HTTPClient(host, int(port))
    response = caller.post(
        "/v1/chat/completions",
        client.body_of(asked),
        client.headers_of(asked),
    )
    response.readline(b"\n\n")
    response.release()
    caller.close()


def running(engine):
    return [item for item in engine.batch.running if not item.cancelled]


def test_engine_is_told_promptly_when_the_caller_left():
    with world.World() as cluster:
        instance = cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01)
        cluster.apply(LOOKUP)
        leave_early(instance, max_tokens=5000)
        world.wait_until(lambda: engine.ran and not running(engine))
        assert instance.host.open_exchange_count() == 0


def test_caller_that_leaves_while_it_waits_is_noticed():
    # The caller of an unstreamed answer leaves. No byte would be written to it
    # for minutes, so no failed write can reveal that it has left.
    with world.World() as cluster:
        instance = cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01)
        cluster.apply(LOOKUP)
        asked = ask(instance, stream=False, max_tokens=5000)
        job = gevent.spawn(client.send, asked)
        world.wait_until(lambda: running(engine))
        job.kill()
        world.wait_until(lambda: not running(engine))


def test_summary_runs_to_its_end_without_its_caller_and_is_held():
    # The caller's connection breaks. The summary must run to completion; a
    # retry with the same key, on another instance, gets the stored answer, and
    # the summary runs only once.
    with world.World() as cluster:
        first, second = cluster.instance("i1"), cluster.instance("i2", "fd2")
        engine = cluster.engine("e1", step=0.01)
        cluster.apply(SUMMARY)
        fields = {"max_tokens": 60, "idempotency_key": "report-7"}
        leave_early(first, **fields)
        answer = client.send(ask(second, **fields))
        assert answer.complete
        assert answer.tokens == 60
        again = client.send(ask(first, **fields))
        assert again.text == answer.text
        assert again.backend_server == "e1"
        assert len(engine.ran) == 1
        other = client.send(
            ask(second, max_tokens=61, idempotency_key="report-7")
        )
        assert other.status == 409
        assert other.error == "idempotency_key_reused"
        assert other.outcome == "not-run"


def test_answer_that_is_no_longer_held_is_not_run_again(monkeypatch):
    with world.World() as cluster:
        instance = cluster.instance("i1")
        engine = cluster.engine("e1")
        cluster.apply(SUMMARY)
        entries = instance.host.reducer.components
        (claims,) = [
            item for item in entries if type(item).__name__ == "Claims"
        ]
        fields = {"idempotency_key": "report-8"}
        assert client.send(ask(instance, **fields)).complete
        monkeypatch.setattr(
            "dandeliontrail.coordination.claim_entries.MAX_HELD_ANSWER_BYTES",
            10,
        )
        client.send(ask(instance, idempotency_key="report-9"))
        assert len(claims.entries) == 2
        answer = client.send(ask(instance, **fields))
        assert answer.status == 409
        assert answer.error == "answer_gone"
        assert answer.outcome == "complete"
        assert len(engine.ran) == 2


def test_service_call_that_must_not_be_repeated_is_sent_once():
    # A service receives an order with PUT and dies before it answers. The
    # order may have been placed: it must not be sent again, and the caller
    # must be informed that the outcome is unknown.
    seen = []

    def handle(sock, address):
        seen.append(sockets.read_request(sock))
        sock.close()

    with world.World() as cluster, sockets.raw_server(handle) as url:
        instance = cluster.instance("i1")
        cluster.raw_server("dock", url, kind="service", service="dock")
        cluster.apply({"order": {"repeatable": False}})
        caller = geventhttpclient.HTTPClient(
            *instance.addresses["callers"].split(":")
        )
        response = caller.put(
            "/services/dock/orders/7",
            b"{}",
            {"Authorization": f"Bearer {world.KEY}"},
        )
        assert response.status_code == 502
        assert response.get("X-Outcome") == "unknown"
        assert len(seen) == 1


def test_engine_that_refuses_for_a_moment_is_asked_again():
    # The only engine answers 503 "not-run" while it is full. The request must
    # run once the engine has room: it is not refused, and not resent in a
    # tight loop.
    seen = []

    def handle(sock, address):
        sockets.read_request(sock)
        seen.append(1)
        if len(seen) < 3:
            sock.sendall(
                b"HTTP/1.1 503 Busy\r\nX-Outcome: not-run\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        else:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        sock.close()

    with world.World() as cluster, sockets.raw_server(handle) as url:
        instance = cluster.instance("i1")
        cluster.raw_server("e1", url)
        cluster.apply(SUMMARY)
        response = post(instance, b'{"model": "small"}')
        assert response.status_code == 200
        assert len(seen) == 3


def post(instance, body, path="/v1/chat/completions"):
    host, port = instance.addresses["callers"].split(":")
    caller = geventhttpclient.HTTPClient(host, int(port))
    headers = {"Authorization": f"Bearer {world.KEY}"}
    return caller.post(path, body, headers)


def readyz(instance):
    host, port = instance.addresses["callers"].split(":")
    return geventhttpclient.HTTPClient(host, int(port)).get("/readyz")


def test_drain_cuts_off_none_of_fifty_streams():
    # The platform replaces an instance under load. Fifty streams are open on
    # it and more requests wait: every caller must get its complete answer.
    with world.World() as cluster:
        instance = cluster.instance("i1", drain_notice_seconds=0.3)
        engine = cluster.engine("e1", slots=50, step=0.02)
        cluster.apply(LOOKUP)
        jobs = [
            gevent.spawn(client.send, ask(instance, max_tokens=40))
            for _ in range(70)
        ]
        world.wait_until(lambda: len(running(engine)) == 50)
        draining = gevent.spawn(instance.drain)
        gevent.sleep(0)
        ready = readyz(instance)
        assert ready.status_code == 503
        assert ready.get("Connection") == "close"
        late = client.send(ask(instance, max_tokens=3))
        assert late.complete
        answers = [job.get() for job in jobs]
        assert all(item.complete for item in answers)
        assert {item.tokens for item in answers} == {40}
        draining.join()


def test_new_work_is_refused_as_not_run_once_the_balancer_has_noticed():
    with world.World() as cluster:
        instance = cluster.instance("i1", drain_notice_seconds=0.0)
        engine = cluster.engine("e1", step=0.01)
        cluster.apply(LOOKUP)
        job = gevent.spawn(client.send, ask(instance, max_tokens=50))
        world.wait_until(lambda: running(engine))
        draining = gevent.spawn(instance.drain)
        gevent.sleep(0.1)
        refused = client.send(ask(instance))
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert refused.retry_after
        assert job.get().complete
        draining.join()


def test_second_signal_ends_at_once_and_tells_each_caller_the_truth():
    # An operator stops the instance without waiting for the drain. Callers of
    # running streams are told that the outcome is unknown, callers of waiting
    # requests that they did not run.
    with world.World() as cluster:
        instance = cluster.instance("i1")
        engine = cluster.engine("e1", slots=2, step=0.02)
        cluster.apply(SUMMARY)
        jobs = [
            gevent.spawn(client.send, ask(instance, max_tokens=5000))
            for _ in range(4)
        ]
        world.wait_until(lambda: len(running(engine)) == 2)
        draining = gevent.spawn(instance.drain)
        gevent.sleep(0.1)
        instance.on_term()
        draining.join()
        answers = [job.get() for job in jobs]
        assert not any(item.complete for item in answers)
        outcomes = sorted(item.outcome for item in answers)
        assert outcomes == ["not-run", "not-run", "unknown", "unknown"]
        assert len(engine.ran) == 2


def test_caller_with_a_time_limit_is_told_when_it_has_passed():
    # The engine is slower than the caller's timeout. The caller is told that
    # the request may have run, and the engine that it is cancelled.
    with world.World() as cluster:
        instance = cluster.instance("i1")
        engine = cluster.engine("e1", step=0.01)
        cluster.apply(LOOKUP)
        asked = ask(instance, max_tokens=5000, timeout=0.5)
        answer = client.send(asked)
        assert not answer.complete
        assert answer.error == "deadline"
        assert answer.outcome == "unknown"
        world.wait_until(lambda: not running(engine))
