"""Objects, servers and requests of realistic kind and size."""

import random

from dandeliontrail import events
from dandeliontrail.resources import announcements
from dandeliontrail.resources import changes
import msgspec

from .. import engine

MODEL_COUNT = 16
CLASS_COUNT = 8
DOMAIN_COUNT = 10
REGION_COUNT = 5


def make_change(objects, operation_id=""):
    """Return a change that puts the given (kind, name, spec) objects."""
    operations = [
        changes.Operation(
            changes.Verb.PUT,
            kind,
            name,
            msgspec.Raw(msgspec.json.encode(spec)),
        )
        for kind, name, spec in objects
    ]
    return changes.Change(operation_id, operations)


def classes(count=CLASS_COUNT):
    """Return one pool and ``count`` classes over four priorities."""
    pool = ("backendpools", "engines", {"select": {"kind": "model_engine"}})
    return [pool] + [
        (
            "requestclasses",
            f"class-{number}",
            {
                "priority": number % 4,
                "minimum_share": 0.5 / count,
                "targets": {"first_token_ms": 310, "between_tokens_ms": 29},
                "pools": ["engines"],
            },
        )
        for number in range(count)
    ]


def organisations(count):
    """Return ``count`` organisations with two keys and limits each."""
    names = [f"class-{number}" for number in range(4)]
    return [
        (
            "organisations",
            f"organisation-{number}",
            {
                "keys": [
                    engine.key_hash(f"{number}-a"),
                    engine.key_hash(f"{number}-b"),
                ],
                "weight": 1.0,
                "classes": names,
                "default_class": names[number % 4],
                "limits": {
                    "requests_per_second": 50,
                    "tokens_per_day": 10**8,
                },
            },
        )
        for number in range(count)
    ]


def key_hash_of(number):
    """Return the hash of the first key of organisation ``number``."""
    return engine.key_hash(f"{number}-a")


def announcement(number, sequence=1):
    """Return the encoded announcement of worker ``number``."""
    rng = random.Random(number * 1_000_003 + sequence)
    fields = {
        "backend_server": f"worker-{number:04}",
        "epoch": 1_700_000_000,
        "sequence": sequence,
        "kind": "model_engine",
        "url": f"http://10.{number // 250}.{number % 250}.7:9000",
        "failure_domain": f"domain-{number % DOMAIN_COUNT}",
        "models": [
            {
                "name": f"model-{number % MODEL_COUNT}",
                "version": "2026-04-01",
                "adapters": ["adapter-a", "adapter-b"],
            }
        ],
        "slots": 256,
        "kv_tokens": 2_000_000,
        "load": {
            "running": rng.randrange(256),
            "waiting": rng.randrange(16),
            "kv_used": rng.randrange(2_000_000),
            "measured_ms_ago": round(rng.random() * 500, 1),
        },
        "lease": 3,
    }
    return msgspec.json.encode(fields)


def decode_announcement(body):
    """Return an announcement as the listener decodes it."""
    return msgspec.json.decode(body, type=announcements.Announcement)


def request(number, organisation=0):
    """Return the event of one caller's request."""
    return events.RequestReceived(
        f"request-{number}",
        key_hash_of(organisation),
        "",
        model=f"model-{number % MODEL_COUNT}",
        path="/v1/chat/completions",
        prompt_tokens=800,
        max_output_tokens=310,
        prefix_hash=f"{number % 97:064x}",
        streamed=True,
    )
