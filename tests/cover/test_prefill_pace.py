"""Engines are taken to be faster or slower than they are."""

import pytest

from dandeliontrail.decisions import prefill_pace

TYPICAL = prefill_pace.TYPICAL_PACE


def measured(pace, tokens=17_000, count=10):
    """Return the estimate for an engine after some prompts."""
    estimate = prefill_pace.PaceEstimate(TYPICAL)
    for _ in range(count):
        estimate.add(tokens, tokens / pace)
    return estimate


def test_an_engine_without_samples_has_the_typical_pace():
    estimate = prefill_pace.PaceEstimate(TYPICAL)
    assert estimate.value() == TYPICAL
    assert not estimate.is_known
    estimate.typical = 30_000.0
    assert estimate.value() == 30_000.0


@pytest.mark.parametrize("factor", [0.7, 1.7])
def test_uneven_engines_are_told_apart_within_a_few_prompts(factor):
    assert measured(TYPICAL * factor, count=4).value() == pytest.approx(
        TYPICAL * factor, rel=0.15
    )
    assert measured(TYPICAL * factor, count=30).value() == pytest.approx(
        TYPICAL * factor, rel=0.1
    )


def test_an_engine_that_becomes_slow_is_known_to_be_within_a_few_prompts():
    estimate = measured(TYPICAL)
    for _ in range(3):
        estimate.add(17_000, 17_000 / (TYPICAL / 10))
    assert estimate.value() < TYPICAL / 5


def test_an_engine_that_recovers_is_known_to_within_some_prompts():
    estimate = measured(TYPICAL / 10)
    for _ in range(20):
        estimate.add(17_000, 17_000 / TYPICAL)
    assert estimate.value() > 0.8 * TYPICAL


def test_short_prompts_do_not_make_an_engine_appear_slow():
    estimate = measured(TYPICAL)
    before = estimate.value()
    estimate.add(prefill_pace.MIN_SAMPLE_TOKENS - 1, 3.0)
    assert estimate.value() == before


def test_prompts_that_end_in_the_same_step_do_not_make_it_appear_fast():
    estimate = prefill_pace.PaceEstimate(TYPICAL)
    for _ in range(10):
        estimate.add(5_000, 0.2)
        estimate.add(5_000, 0.0)
    assert estimate.value() == pytest.approx(TYPICAL, rel=0.15)


def test_an_engine_that_does_not_answer_counts_as_slow():
    estimate = prefill_pace.PaceEstimate(TYPICAL)
    assert estimate.value_while(10_000, 0.5) == TYPICAL
    assert estimate.value_while(10_000, 2.0) == 5_000.0
    assert estimate.value_while(10_000, 20.0) == 500.0


def test_a_short_prompt_that_is_sent_does_not_make_it_appear_slow():
    estimate = prefill_pace.PaceEstimate(TYPICAL)
    assert estimate.value_while(100, 0.1) == TYPICAL


def test_the_typical_pace_is_the_median_of_the_known_ones():
    assert prefill_pace.median_pace([]) == TYPICAL
    assert prefill_pace.median_pace([1_000.0, 30_000.0, 80_000.0]) == 30_000.0
