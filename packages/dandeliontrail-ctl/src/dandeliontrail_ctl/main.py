"""The command line of ``dandelionctl``.

Exit codes: 0 done, 1 failed, 2 bad usage or input, 3 conflict.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import cyclopts  # noqa: E402
import dandeliontrail  # noqa: E402

from . import __version__  # noqa: E402
from . import api  # noqa: E402
from . import jsonlog  # noqa: E402
from .commands import changing  # noqa: E402
from .commands import drain  # noqa: E402
from .commands import keepers  # noqa: E402
from .commands import objects  # noqa: E402
from .commands import overview  # noqa: E402
from .commands import watching  # noqa: E402

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INPUT = 2
EXIT_CONFLICT = 3
BAD_REQUEST = 400
INTERRUPTED = 130

app = cyclopts.App(
    name="dandelionctl",
    version=__version__,
    help="Declare and watch objects of dandeliontrail, and see how it does.",
)
for module in (changing, watching, objects, overview, drain, keepers):
    module.register(app)


def _add_lab():
    """Add the lab's commands where the lab is installed."""
    try:
        from dandeliontrail_lab import commands
    except ImportError:
        return
    app.command(commands.app)


def run(argv=None):
    """Run the command line and exit with its code."""
    _add_lab()
    sys.exit(exit_code(argv))


def exit_code(argv=None):
    """Run one command line and return its exit code."""
    try:
        result = app(
            argv,
            result_action="return_value",
            exit_on_error=False,
            print_error=False,
        )
    except cyclopts.CycloptsError as exc:
        jsonlog.error(" ".join(str(exc).split()), "see --help")
        return EXIT_INPUT
    except dandeliontrail.DandeliontrailError as exc:
        jsonlog.error(exc.message, exc.remedy)
        return _code_of(exc)
    except KeyboardInterrupt:
        return INTERRUPTED
    return result if isinstance(result, int) else EXIT_DONE


def _code_of(exc):
    if not isinstance(exc, api.ApiError):
        return EXIT_INPUT
    if exc.status == api.CONFLICT:
        return EXIT_CONFLICT
    if exc.status == BAD_REQUEST:
        return EXIT_INPUT
    return EXIT_FAILED
