"""The long audit: 20 seeds of 5,000 requests, none lost, doubled or cut.

Run: ``.venv/bin/python -m bench.audit``; it takes about an hour on one
machine.  ``dandelionctl lab audit`` takes other sizes.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from dandeliontrail_lab import audit_command  # noqa: E402

SEEDS = 20
REQUESTS = 5000

if __name__ == "__main__":
    sys.exit(audit_command.audit(requests=REQUESTS, seeds=SEEDS))
