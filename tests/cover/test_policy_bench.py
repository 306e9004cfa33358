"""The policy bench: its command, its engine model and its bound."""

import dataclasses

import msgspec
import pytest

from dandeliontrail_lab.policy import command
from dandeliontrail_lab.policy import engine_model
from dandeliontrail_lab.policy import measures
from dandeliontrail_lab.policy import scenarios
from dandeliontrail_lab.policy import simulation
from dandeliontrail_lab.policy import workload

ORGANISATION = workload.Organisation("lab", 1.0)


def make_result(cost, arrives, deadline):
    request_class = dataclasses.replace(
        workload.REPLY, total=deadline - arrives
    )
    request = workload.Request(
        0, arrives, request_class, ORGANISATION, 10, 10, "", 0, cost
    )
    return simulation.Result(request)


def test_command_prints_the_measures_of_one_run(capsys):
    command.policy(scenario=["steady"], seed=[1], output="json")
    (row,) = msgspec.json.decode(capsys.readouterr().out)
    assert row["policy"] == "adaptive"
    assert row["protected"] > 0.99


def test_command_lists_the_valid_names(capsys):
    with pytest.raises(SystemExit) as exit_info:
        command.policy(scenario=["stedy"])
    assert exit_info.value.code == 2
    assert "steady" in capsys.readouterr().err


def test_bound_counts_work_that_can_be_served_by_its_deadline():
    scenario = scenarios.Scenario("two", 1.0, engines=1, seconds=10.0)
    in_time = make_result(2.0, 0.0, 4.0)
    too_much = make_result(9.0, 1.0, 5.0)
    # By the last deadline, at second five, one engine can do five seconds of
    # work.
    assert measures.fluid_bound(scenario, [in_time, too_much]) == (
        pytest.approx(5.0)
    )


def test_engine_yields_all_tokens_and_one_first_token_per_stream():
    engine = engine_model.EngineModel("e1", "fd1")
    for number in range(40):
        stream = engine_model.Stream(f"{number}/1", number % 3, 700, 50)
        engine.submit(stream, 0.0)
    events = []
    while engine.next_change_time() is not None:
        events += engine.advance(engine.next_change_time())
    kinds = [item.kind for item in events]
    assert kinds.count("first") == 40
    assert kinds.count("end") == 40
    assert engine.generated == 40 * 50


def test_engine_out_of_memory_counts_recomputed_tokens():
    parameters = engine_model.EngineParameters(kv_tokens=2_000)
    engine = engine_model.EngineModel("e1", "fd1", parameters)
    for number in range(2):
        stream = engine_model.Stream(f"{number}/1", 0, 900, 400)
        engine.submit(stream, 0.0)
    while engine.next_change_time() is not None:
        engine.advance(engine.next_change_time())
    assert engine.generated == 800
    assert engine.recomputed >= 900
