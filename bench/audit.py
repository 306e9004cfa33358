"""The long audit: 20 seeds with 5,000 requests each.

It checks that no request is lost, executed twice or truncated.  Run it with
``.venv/bin/python -m bench.audit``; it takes about an hour on one host.
``dandelionctl lab audit`` runs other sizes.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from dandeliontrail_lab import audit_command  # noqa: E402

SEEDS = 20
REQUESTS = 5000

if __name__ == "__main__":
    sys.exit(audit_command.audit(requests=REQUESTS, seeds=SEEDS))
