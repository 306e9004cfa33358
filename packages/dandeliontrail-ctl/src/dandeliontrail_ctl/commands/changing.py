"""Commands that change what is declared."""

import pathlib

from .. import documents
from .. import options


def apply(*, f: pathlib.Path, target: options.Target = options.Target()):
    """Write the objects in a file or a folder.

    Example: dandelionctl apply -f examples/derwent/resources
    """
    server = target.api()
    for document in documents.read_documents(f):
        written = server.put(document.kind, document.name, document.spec)
        name = f"{document.kind}/{document.name}"
        print(f"{name} at version {written['version']}")


def register(app):
    """Add the commands of this module."""
    app.command(apply)
