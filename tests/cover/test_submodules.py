"""Modules that are loaded without the rest of their package."""

import subprocess
import sys

CODE = """
from dandeliontrail_node import http_library
import sys
assert "geventhttpclient" not in sys.modules
library = http_library.load_client()
assert library.HTTPParseError is http_library.HTTPParseError
assert issubclass(
    library.response.HTTPResponse, http_library.HTTPResponseParser
)
"""


def test_parser_is_the_one_that_the_client_uses():
    # With a second copy of the parser, its errors in the client's answers
    # would be of another class, and nobody would catch them.
    subprocess.run([sys.executable, "-c", CODE], check=True)
