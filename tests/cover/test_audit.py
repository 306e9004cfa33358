"""A short audit of real instances, and what its report detects."""

from dandeliontrail_lab import audit
from dandeliontrail_lab import client


def test_short_audit_finds_nothing():
    plan = audit.Plan(seed=1, requests=60, path_losses=0, kills=0)
    report = audit.Audit(plan).run()
    assert report.sent == 60
    assert report.outcomes["complete"] > 30
    assert report.clean(), report


def case_with(answer, class_name="summary"):
    case = audit.Case(0, class_name, "", True, 3)
    case.answers.append(answer)
    return case


def report_on(answer, runs=1, begun_ids=(), class_name="summary"):
    audited = audit.Audit(audit.Plan())
    audited.cases = [case_with(answer, class_name)]
    audited.runs[0] = runs
    audited.begun_ids = set(begun_ids)
    return audited.report()


def test_report_detects_each_kind_of_false_outcome():
    complete = client.Answer(200, text="w0 w1 w2 ", complete=True)
    assert report_on(complete).clean()
    assert report_on(complete, runs=2).doubled == [0]
    assert report_on(complete, runs=2, class_name="lookup").clean()
    assert report_on(complete, runs=0).lost == [0]
    truncated = client.Answer(200, text="w0 w1 ", complete=True)
    assert report_on(truncated).cut == [0]
    silent = client.Answer(0, error="timed out")
    assert report_on(silent).lost == [0]
    not_run = client.Answer(503, outcome="not-run", request_id="r")
    assert report_on(not_run, runs=0).clean()
    assert report_on(not_run, begun_ids=["r"]).false_not_run == [0]
