"""The capacity page agrees with its data file."""

import pathlib

from dandeliontrail_lab.capacity import data as data_module
from dandeliontrail_lab.capacity import fits
from dandeliontrail_lab.capacity import model
from dandeliontrail_lab.capacity import page
import pytest

DOCS = pathlib.Path(__file__).parents[2] / "docs"
DATA = data_module.read(DOCS / "capacity.json")


def test_tables_of_the_page_are_those_of_the_data_file():
    text = (DOCS / "CAPACITY.md").read_text()
    assert page.render_page(text, DATA) == text
    places = {match["name"] for match in page.TABLE_PLACEHOLDER.finditer(text)}
    assert places == set(page.TABLES)


def test_every_slope_has_three_sizes_and_repeats():
    for item in DATA.fits:
        assert len(item.sizes) >= 3
        assert item.repeats >= 2


def test_fit_of_a_straight_line_is_exact():
    probe = fits.Probe("x", "", "", "", [1, 2, 5], lambda size: 3 + 2 * size)
    found = fits.run(probe, "")
    assert (found.start, found.slope) == pytest.approx((3.0, 2.0))
    assert found.spread == pytest.approx(0.0)
    assert found.residual == pytest.approx(0.0)
    assert found.at(100) == pytest.approx(203.0)


def test_noise_shows_in_spread_and_residual():
    probe = fits.Probe("x", "", "", "", [1, 2, 3], None)
    found = fits.fit(probe, [[1.0, 5.0, 3.0], [2.0, 5.0, 9.0]], "")
    # The slopes are 1 and 3.5, with 2.25 for the medians; the medians 1.5, 5
    # and 6 are 0.42, 0.83 and 0.42 off the fit.
    assert found.spread == pytest.approx(2.5 / 2.25)
    assert found.residual == pytest.approx(0.589 / 6.0, rel=1e-3)


@pytest.mark.parametrize("role", ["entry", "relay"])
def test_sums_grow_with_the_deployment(role):
    for lines_of in (model.memory, model.processor):
        today, at_size = [
            model.total(lines_of(size, DATA, role)) for size in model.SIZES
        ]
        assert 0 < today < at_size
