"""Set up once for all tests: gevent first, then Hypothesis profiles.

The ``ci`` profile is derandomised and knows no deadline, so that each run
of CI gives the same verdict on a slow machine as on a fast one.
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

# The adapter is a folder beside the packages and is not installed.
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))
