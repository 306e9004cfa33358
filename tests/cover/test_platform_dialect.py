"""Callers' headers on the users' platform, also malformed ones."""

from dandeliontrail_node import wsgi
from dandeliontrail_platform import dialect
import pytest

from tests.common import platform_world

MANY_DIGITS = "9" * 400


def read(**headers):
    pairs = [(name.replace("_", "-"), text) for name, text in headers.items()]
    head = wsgi.Head("POST", "/chat/x", pairs)
    return dialect.PlatformDialect().read(head)


@pytest.mark.parametrize(
    "text, parts",
    [
        ("aa:800,bb:410", (("aa", 800), ("bb", 410))),
        (f"aa:{MANY_DIGITS}", (("aa", dialect.MAX_TOKENS),)),
        (f"aa:{'9' * 5000}", (("aa", dialect.MAX_TOKENS),)),
        (f"aa:{'0' * 5000}7", (("aa", 7),)),
        ("aa:\u00b2,bb:7", (("bb", 7),)),
        ("aa:-1,:5,bb,cc:", ()),
    ],
)
def test_prompt_parts_are_bounded_however_they_are_written(text, parts):
    assert read(X_Dandeliontrail_Prompt_Prefix=text).parts == parts


@pytest.mark.parametrize(
    "text, counts",
    [
        ("800,200", (800, 200)),
        (f"{MANY_DIGITS},1", (dialect.MAX_TOKENS, 1)),
        ("\u00b2,1", (0, 0)),
    ],
)
def test_token_counts_are_bounded_however_they_are_written(text, counts):
    found = read(X_Dandeliontrail_Token_Usage=text)
    assert (found.prompt_tokens, found.max_output_tokens) == counts


def answering(server, sock, head):
    request_id = platform_world.id_of(head)
    sock.sendall(platform_world.whole(200, b"whole", request_id))


def test_a_part_of_many_digits_does_not_stop_an_entry():
    with platform_world.declared() as platform:
        entry = platform.entry()
        platform.knows(entry, platform.server(answering))
        platform.call(
            entry,
            "POST",
            "/read/x",
            "many-digits",
            headers=[
                ("X-Dandeliontrail-Prompt-Prefix", f"aa:{MANY_DIGITS}"),
                ("X-Dandeliontrail-Token-Usage", "1,1"),
            ],
        )
        for number in range(3):
            reply = platform.call(entry, "POST", "/read/x", f"r{number}")
            assert (reply.status, reply.body) == (200, b"whole")


@pytest.mark.parametrize("name", ["acme", "Caf\u00e9", "\u0416\u0443\u043a"])
def test_organisations_of_any_letters_are_served(name):
    with platform_world.PlatformWorld() as platform:
        document = platform_world.manifest(1)
        document["tenants"][0]["name"] = name
        assert platform.apply(document).status == 200
        entry = platform.entry()
        server = platform.server(answering)
        platform.knows(entry, server)
        reply = platform.call(entry, "GET", "/read/x", "r1")
        assert (reply.status, reply.body) == (200, b"whole")
        (head,) = server.ran
        assert platform_world.header(head, dialect.ORGANISATION) == name
