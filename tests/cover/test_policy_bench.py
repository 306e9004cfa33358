"""The policy bench itself: its command, its engine and its bound."""

import dataclasses

import msgspec
import pytest

from dandeliontrail_lab.policy import command
from dandeliontrail_lab.policy import engine_model
from dandeliontrail_lab.policy import measures
from dandeliontrail_lab.policy import scenarios
from dandeliontrail_lab.policy import simulation
from dandeliontrail_lab.policy import workload

CALLER = workload.Organisation("lab", 1.0)


def result(cost, arrives, due):
    shape = dataclasses.replace(workload.REPLY, total=due - arrives)
    request = workload.Request(0, arrives, shape, CALLER, 10, 10, "", 0, cost)
    return simulation.Result(request)


def test_command_prints_the_measures_of_one_run(capsys):
    command.policy(scenario=["steady"], seed=[1], output="json")
    (row,) = msgspec.json.decode(capsys.readouterr().out)
    assert row["policy"] == "adaptive"
    assert row["protected"] > 0.99


def test_command_names_what_is_allowed(capsys):
    with pytest.raises(SystemExit) as raised:
        command.policy(scenario=["stedy"])
    assert raised.value.code == 2
    assert "steady" in capsys.readouterr().err


def test_bound_counts_what_can_be_served_before_it_is_due():
    scenario = scenarios.Scenario("two", 1.0, engines=1, seconds=10.0)
    in_time = result(2.0, 0.0, 4.0)
    too_much = result(9.0, 1.0, 5.0)
    # Five seconds of one engine are all that is due by the fifth second.
    assert measures.fluid_bound(scenario, [in_time, too_much]) == (
        pytest.approx(5.0)
    )


def test_engine_gives_all_tokens_and_the_first_one_once():
    engine = engine_model.EngineModel("e1", "fd1")
    for number in range(40):
        stream = engine_model.Stream(f"{number}/1", number % 3, 700, 50)
        engine.submit(stream, 0.0)
    happened = []
    while engine.next_bound() is not None:
        happened += engine.advance(engine.next_bound())
    kinds = [item.kind for item in happened]
    assert kinds.count("first") == 40
    assert kinds.count("end") == 40
    assert engine.generated == 40 * 50


def test_engine_out_of_memory_computes_again_and_says_so():
    pace = engine_model.Pace(kv_tokens=2_000)
    engine = engine_model.EngineModel("e1", "fd1", pace)
    for number in range(2):
        stream = engine_model.Stream(f"{number}/1", 0, 900, 400)
        engine.submit(stream, 0.0)
    while engine.next_bound() is not None:
        engine.advance(engine.next_bound())
    assert engine.generated == 800
    assert engine.recomputed >= 900
