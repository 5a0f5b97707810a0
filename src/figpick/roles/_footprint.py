"""Prevents the import of libraries that a node never uses, to save memory.

The memory limit of a node is 32 MB. OpenSSL takes about 5 MB of it. The event loop,
tornado and ``hashlib`` import it, although figpick processes speak plain HTTP and the
hash functions built into the interpreter suffice for their small messages. Another
1 MB is taken by ``curses``, which tornado uses to colour logs, and by the mail parsers
imported by ``http.client``, of which tornado needs only the table of response phrases.
"""

import sys
from http import HTTPStatus
from types import ModuleType

# Modules whose importers fall back to an alternative when they are missing.
OPTIONAL_MODULES = ("_hashlib", "curses")


class PlaceholderError(OSError):
    """Replaces every class of the ``ssl`` module; never raised."""


def omit_unused_libraries(settings):
    """Replaces unused libraries with placeholders.

    It must be called before the event loop is imported.

    A process with the control role or with metrics keeps OpenSSL: the former hashes
    large snapshots, and metrics may be exported over HTTPS.

    :param settings: :class:`~figpick.base._settings.Settings`.
    :return: whether libraries were replaced.
    """
    if settings["roles"] != ["node"] or "metrics" in settings:
        return False
    for name in OPTIONAL_MODULES:
        # With an entry of ``None``, an import raises ImportError.
        sys.modules.setdefault(name, None)
    sys.modules.setdefault("ssl", _TlsModule("ssl"))
    sys.modules.setdefault("http.client", _http_client_module())
    return True


def _http_client_module():
    module = ModuleType("http.client")
    module.responses = {int(status): status.phrase for status in HTTPStatus}
    return module


class _TlsModule(ModuleType):
    """Returns a placeholder for every attribute, because importers access some."""

    def __getattr__(self, name):
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.isupper() else PlaceholderError
