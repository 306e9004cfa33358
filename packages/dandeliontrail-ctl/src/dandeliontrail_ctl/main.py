"""The entry point of ``dandelionctl``.

Exit codes: 0 success, 1 failure, 2 bad usage or input, 3 version conflict,
130 interrupted.  ``check`` returns 1 for warnings and 2 for errors.
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
from .commands import checking  # noqa: E402
from .commands import drain  # noqa: E402
from .commands import keepers  # noqa: E402
from .commands import objects  # noqa: E402
from .commands import overview  # noqa: E402
from .commands import watching  # noqa: E402

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
HTTP_BAD_REQUEST = 400
EXIT_INTERRUPTED = 130

app = cyclopts.App(
    name="dandelionctl",
    version=__version__,
    help="Declare and watch objects of dandeliontrail, and show its state.",
)
for module in (
    changing,
    checking,
    watching,
    objects,
    overview,
    drain,
    keepers,
):
    module.register(app)


def _register_lab_commands():
    """Add the ``lab`` commands if dandeliontrail_lab is installed."""
    try:
        from dandeliontrail_lab import commands
    except ImportError:
        return
    app.command(commands.app)


def run(argv=None):
    """Run the command line and exit the process with its exit code."""
    _register_lab_commands()
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
        return EXIT_BAD_INPUT
    except dandeliontrail.DandeliontrailError as exc:
        jsonlog.error(exc.message, exc.remedy)
        return _exit_code_for(exc)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return result if isinstance(result, int) else EXIT_DONE


def _exit_code_for(exc):
    if not isinstance(exc, api.ApiError):
        return EXIT_BAD_INPUT
    if exc.status == api.HTTP_CONFLICT:
        return EXIT_CONFLICT
    if exc.status == HTTP_BAD_REQUEST:
        return EXIT_BAD_INPUT
    return EXIT_FAILED
