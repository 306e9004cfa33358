"""Patches the standard library with gevent and sets Hypothesis profiles.

The ``ci`` profile is derandomised and has no deadline, so that the result of
a CI run does not depend on chance or on the speed of the machine.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

import hypothesis  # noqa: E402

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile(
    "long", deadline=None, max_examples=1000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

# The platform adapter is not an installed package.
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))
