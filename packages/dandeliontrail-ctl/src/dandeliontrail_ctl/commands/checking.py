"""The command that checks declared objects before they are applied."""

import pathlib

import dandeliontrail
from dandeliontrail.resources import findings
from dandeliontrail.resources import object_findings

from .. import documents
from .. import finding_tables
from .. import objects_in_force
from .. import options


def check(
    *,
    f: options.FileOption,
    against: pathlib.Path | None = None,
    offline: bool = False,
    output: options.Output = options.Output.TABLE,
    target: options.Target = options.Target(),
):
    """Check the objects in a file or folder, and show what they would change.

    Nothing is applied.  The exit code is 0 without findings, 1 for warnings
    and 2 for errors.

    Example: dandelionctl check -f examples/derwent/resources --offline

    Parameters
    ----------
    f
        A YAML file, or a folder of YAML files.
    against
        A file or folder with the objects in force, instead of a server.
    offline
        Contact no server and show no differences.
    """
    report = _report(f, _source(against, offline, target))
    options.show(report, output, finding_tables.report)
    return findings.exit_status(report.findings)


def _source(against, offline, target):
    """Return where the objects in force are read, ``None`` for nowhere."""
    if against and offline:
        raise dandeliontrail.SettingsError(
            "--against and --offline exclude each other.",
            "omit --offline: no server is contacted with --against",
        )
    if offline:
        return None
    if against:
        return objects_in_force.Folder(against)
    return objects_in_force.Server(target.api())


def _report(path, source):
    objects, errors = documents.read_all(path)
    if errors:
        # Without the objects of these files others would seem to refer to
        # objects that do not exist.
        return findings.Report(
            [_unreadable(str(exc.path), exc) for exc in errors]
        )
    operations = documents.operations_of(objects)
    if source is None:
        return findings.Report(object_findings.check(operations))
    try:
        in_force = source.read()
    except objects_in_force.Unreadable as exc:
        found = object_findings.check(operations)
        found.append(_unreadable(exc.source, exc))
        return findings.Report(findings.in_order(found))
    found = object_findings.check(operations, in_force)
    found.extend(source.validate(objects, found))
    # A change deletes no object that it does not name.
    differences = object_findings.differences(in_force, in_force + operations)
    return findings.Report(findings.in_order(found), differences)


def _unreadable(source, exc):
    return findings.error(
        findings.UNREADABLE,
        _encodable(source),
        _encodable(exc.message),
        exc.remedy,
    )


def _encodable(text):
    """Return a text with the bytes of a path that are not UTF-8 escaped."""
    return text.encode(errors="backslashreplace").decode()


def register(app):
    """Add this module's command to ``app``."""
    app.command(check)
