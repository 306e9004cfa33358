"""The command line of ``dandeliond``."""

from . import early_hangup

early_hangup.hold()

from . import cooperative  # noqa: E402

cooperative.patch()

import pathlib  # noqa: E402
import sys  # noqa: E402

import cyclopts  # noqa: E402
import dandeliontrail  # noqa: E402

from . import __version__  # noqa: E402
from . import instance  # noqa: E402
from . import jsonlog  # noqa: E402
from . import settings as settings_module  # noqa: E402

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

app = cyclopts.App(name="dandeliond", version=__version__)


@app.default
def main(*, settings: pathlib.Path, check: bool = False):
    """Run one instance until it receives SIGTERM.

    Example: dandeliond --settings /etc/dandeliontrail/instance.yaml

    Parameters
    ----------
    settings
        The YAML file that holds the settings of this instance.
    check
        Check the settings without starting the instance, then exit.
    """
    logger = jsonlog.make_logger("dandeliond", "info", "")
    try:
        cfg = settings_module.load(settings)
        if check:
            print(f"{settings}: good")
            return EXIT_DONE
        logger = jsonlog.make_logger("dandeliond", cfg.log.level, cfg.instance)
        with instance.Instance(cfg, logger, settings) as running:
            running.run()
    except dandeliontrail.SettingsError as exc:
        logger.error("settings", extra={"error": str(exc)})
        return EXIT_SETTINGS
    except Exception as exc:
        logger.error("failed", exc_info=exc)
        return EXIT_FAILED
    return EXIT_DONE


def run():
    """Run the command line and exit with its code."""
    try:
        code = app(
            result_action="return_value",
            exit_on_error=False,
            print_error=False,
        )
    except cyclopts.CycloptsError as exc:
        logger = jsonlog.make_logger("dandeliond", "info", "")
        text = " ".join(str(exc).split())
        logger.error("usage", extra={"error": text, "remedy": "see --help"})
        code = EXIT_SETTINGS
    sys.exit(code)
