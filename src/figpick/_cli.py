"""figpick: overload control for service call graphs.

Usage:
  figpick run SETTINGS
  figpick check FILE
  figpick put FILE --base=VERSION [--change=ID] [--author=NAME] [options]
  figpick get SERVICE [options]
  figpick history SERVICE [options]
  figpick state [options]
  figpick (-h | --help | --version)

Options:
  --at=ADDRESS     Peer address of a process [default: 127.0.0.1:9101].
  --key-file=FILE  File with the shared key; without it the variable
                   FIGPICK_KEY is read.
  --base=VERSION   Version that the change is based on, 0 for a new document.
  --change=ID      Identity of the change; a resend must carry the same.
  --author=NAME    Who makes the change.
  -h --help        Show this text.
  --version        Show the version.

Examples:
  figpick check parts.json
  figpick put parts.json --base=0 --author=ada --at=127.0.0.1:9101
  figpick state --at=127.0.0.1:8101

Exit codes:
  0 done, 1 refused or failed, 2 a file or argument is not valid,
  3 the base version is not current, 4 no answer.
"""

import os
import sys

import msgspec
from docopt import docopt

from . import _documents, _logs, _settings
from ._errors import (
    FigpickError,
    InvalidDocumentError,
    PeerRefusedError,
    PeerUnreachableError,
)
from ._operators import Operator

VERSION = "0.1.0"
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NO_ANSWER = 4
HTTP_CONFLICT = 409


def main(argv=None):
    """Runs one command and exits with its code."""
    arguments = docopt(__doc__, argv, version=VERSION)
    try:
        _run(arguments)
    except InvalidDocumentError as error:
        _fail(str(error), EXIT_INVALID)
    except PeerUnreachableError as error:
        _fail(str(error), EXIT_NO_ANSWER)
    except PeerRefusedError as error:
        code = EXIT_CONFLICT if error.status == HTTP_CONFLICT else EXIT_FAILED
        _print(error.body)
        _fail(str(error), code)
    except FigpickError as error:
        _fail(str(error), EXIT_FAILED)


def _run(arguments):
    if arguments["run"]:
        _run_process(arguments["SETTINGS"])
    elif arguments["check"]:
        _documents.load(arguments["FILE"])
        print(f"{arguments['FILE']}: valid")
    elif arguments["put"]:
        _print(_put(arguments))
    elif arguments["state"]:
        _print(_operator(arguments).send("state", {}))
    else:
        kind = "get" if arguments["get"] else "history"
        message = {"service": arguments["SERVICE"]}
        _print(_operator(arguments).send(kind, message))


def _run_process(path):
    from . import _compose

    settings = _settings.load(path)
    _logs.start(settings.get("log_level", "info"), settings["name"])
    _compose.run(settings)


def _put(arguments):
    document = _documents.load(arguments["FILE"])
    return _operator(arguments).put(
        document,
        _whole_number("--base", arguments["--base"]),
        arguments["--change"],
        arguments["--author"] or os.environ.get("USER", ""),
    )


def _whole_number(option, value):
    if not value.isdigit():
        _fail(f"{option}: {value!r} is not a whole number from 0", EXIT_INVALID)
    return int(value)


def _operator(arguments):
    return Operator(arguments["--at"], _key(arguments["--key-file"]))


def _key(path):
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
