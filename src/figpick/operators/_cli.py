"""figpick: overload control for service call graphs.

Usage:
  figpick run SETTINGS
  figpick check FILE
  figpick put FILE --base=VERSION [--change=ID] [--author=NAME] [options]
  figpick get SERVICE [options]
  figpick history SERVICE [options]
  figpick status [options]
  figpick state [options]
  figpick members add NAME ADDRESS [options]
  figpick members remove NAME [options]
  figpick unquarantine SERVICE FINGERPRINT [options]
  figpick recover FOLDER [--lose-other-disks]
  figpick explain ID FILE...
  figpick losses FILE... [--interval=SECONDS]
  figpick (-h | --help | --version)

Options:
  --at=ADDRESSES   Peer addresses of processes, separated by commas; they are
                   tried in turn [default: 127.0.0.1:9101].
  --key-file=FILE  File with the shared key; without it the variable
                   FIGPICK_KEY is read.
  --base=VERSION   Version that the change is based on, 0 for a new document.
  --change=ID      Identity of the change; a resend must carry the same.
  --author=NAME    Who makes the change.
  --lose-other-disks  Make the disk the only one that counts. Changes that it lacks
                   are lost; all other control processes must start with empty
                   data folders. Without it, what the disk holds is shown.
  --interval=SECONDS  Length of the intervals of a report [default: 5].
  -h --help        Show this text.
  --version        Show the version.

Examples:
  figpick check parts.json
  figpick put parts.json --base=0 --author=ada --at=10.0.0.1:9101,10.0.0.2:9101
  figpick members remove control-3
  figpick members add control-3 10.0.0.9:9101
  figpick state --at=127.0.0.1:8101
  figpick losses node-*.log --interval=5

Exit codes:
  0 done, 1 refused or failed, 2 a file or argument is not valid,
  3 the base version is not current, 4 no answer, 5 no quorum.
"""

import os
import re
import sys

import msgspec
from docopt import docopt

from ..base._errors import (
    FigpickError,
    InvalidDocumentError,
    PeerRefusedError,
    PeerUnreachableError,
)

VERSION = "0.1.0"
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NO_QUORUM = 5
HTTP_INVALID = 400
HTTP_NO_QUORUM = 503
ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")


def main(argv=None):
    """Runs a command; exits with a code other than 0 when it fails."""
    arguments = docopt(__doc__, argv, version=VERSION)
    try:
        _run(arguments)
    except InvalidDocumentError as error:
        _fail(str(error), EXIT_INVALID)
    except PeerUnreachableError as error:
        _fail(str(error), EXIT_UNREACHABLE)
    except PeerRefusedError as error:
        _print(error.body)
        _fail(str(error), _exit_code(error))
    except FigpickError as error:
        _fail(str(error), EXIT_FAILED)


def _exit_code(refusal):
    if "current" in refusal.body:
        return EXIT_CONFLICT
    codes = {HTTP_INVALID: EXIT_INVALID, HTTP_NO_QUORUM: EXIT_NO_QUORUM}
    return codes.get(refusal.status, EXIT_FAILED)


def _run(arguments):
    if arguments["run"]:
        _run_process(arguments["SETTINGS"])
    elif arguments["check"]:
        _load_document(arguments)
        print(f"{arguments['FILE'][0]}: valid")
    elif arguments["explain"]:
        _run_explain(arguments["ID"], arguments["FILE"])
    elif arguments["losses"]:
        _run_losses(arguments["FILE"], arguments["--interval"])
    elif arguments["recover"]:
        _print(_recover(arguments["FOLDER"], arguments["--lose-other-disks"])._asdict())
    elif arguments["put"]:
        _print(_put(arguments))
    elif arguments["members"]:
        action = "add" if arguments["add"] else "remove"
        _print(_change_members(arguments, action))
    elif arguments["unquarantine"]:
        message = {
            "service": arguments["SERVICE"],
            "fingerprint": arguments["FINGERPRINT"],
        }
        _print(_make_client(arguments).send("unquarantine", message))
    elif arguments["status"] or arguments["state"]:
        kind = "status" if arguments["status"] else "state"
        _print(_make_client(arguments).send(kind, {}))
    else:
        kind = "get" if arguments["get"] else "history"
        message = {"service": arguments["SERVICE"]}
        _print(_make_client(arguments).send(kind, message))


def _run_process(path):
    from ..base import _settings
    from ..roles import _footprint

    settings = _settings.load(path)
    _footprint.omit_unused_libraries(settings)
    from ..base import _logs
    from ..roles import _compose

    _logs.start(settings.get("log_level", "info"), settings["name"])
    _compose.run(settings)


def _read_log_lines(paths):
    from . import _explain

    lines = []
    for path in paths:
        try:
            with open(path, errors="replace") as file:
                lines.extend(_explain.read_lines(file))
        except OSError as error:
            _fail(f"{path}: {error.strerror}", EXIT_INVALID)
    return lines


def _run_losses(paths, interval):
    from . import _losses

    interval_s = _parse_whole_number("--interval", interval)
    if not interval_s:
        _fail("--interval: must be at least 1", EXIT_INVALID)
    lines = _read_log_lines(paths)
    intervals = _losses.sum_up(lines, interval_s)
    for text in _losses.format_intervals(intervals, _losses.services_of_nodes(lines)):
        print(text)


def _run_explain(request_id, paths):
    from . import _explain

    lines = _read_log_lines(paths)
    found = _explain.explain(request_id, lines)
    if not found:
        _fail(f"no log line mentions request {request_id}", EXIT_FAILED)
    for line in _explain.format_lines(found, request_id):
        print(line)


def _recover(folder, is_confirmed):
    from ..consensus import _recovery

    if not os.path.isdir(folder):
        _fail(f"{folder}: no such folder", EXIT_INVALID)
    return _recovery.recover(folder) if is_confirmed else _recovery.inspect(folder)


def _load_document(arguments):
    from ..registry import _documents

    return _documents.load(arguments["FILE"][0])


def _put(arguments):
    document = _load_document(arguments)
    return _make_client(arguments).put(
        document,
        _parse_whole_number("--base", arguments["--base"]),
        arguments["--change"],
        arguments["--author"] or os.environ.get("USER", ""),
    )


def _change_members(arguments, action):
    address = arguments["ADDRESS"]
    if action == "add":
        _check_address("ADDRESS", address)
    return _make_client(arguments).change_members(action, arguments["NAME"], address)


def _check_address(option, value):
    if not ADDRESS.fullmatch(value):
        _fail(
            f"{option}: {value!r} is not an address such as 10.0.0.1:9101", EXIT_INVALID
        )


def _parse_whole_number(option, value):
    if not value.isdigit():
        _fail(f"{option}: {value!r} is not a whole number from 0", EXIT_INVALID)
    return int(value)


def _make_client(arguments):
    addresses = arguments["--at"].split(",")
    for address in addresses:
        _check_address("--at", address)
    from ._client import OperatorClient

    return OperatorClient(addresses, _read_key(arguments["--key-file"]))


def _read_key(path):
    if path is None:
        return os.environ.get("FIGPICK_KEY", "")
    try:
        with open(path) as file:
            return file.read().strip()
    except OSError as error:
        return _fail(f"{path}: {error.strerror}", EXIT_INVALID)


def _print(value):
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _fail(message, code):
    print(message, file=sys.stderr)
    sys.exit(code)
