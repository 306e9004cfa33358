"""A short audit with real instances, and what its report catches."""

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


def judged(answer, runs=1, began=(), class_name="summary"):
    made = audit.Audit(audit.Plan())
    made.cases = [case_with(answer, class_name)]
    made.runs[0] = runs
    made.began = set(began)
    return made.report()


def test_report_catches_each_kind_of_false_outcome():
    whole = client.Answer(200, text="w0 w1 w2 ", complete=True)
    assert judged(whole).clean()
    assert judged(whole, runs=2).doubled == [0]
    assert judged(whole, runs=2, class_name="lookup").clean()
    assert judged(whole, runs=0).lost == [0]
    cut = client.Answer(200, text="w0 w1 ", complete=True)
    assert judged(cut).cut == [0]
    silent = client.Answer(0, error="timed out")
    assert judged(silent).lost == [0]
    denied = client.Answer(503, outcome="not-run", request_id="r")
    assert judged(denied, runs=0).clean()
    assert judged(denied, began=["r"]).false_not_run == [0]
