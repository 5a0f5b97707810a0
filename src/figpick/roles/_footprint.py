"""Keeps libraries that a node never uses out of its memory.

A node may take 32 MB. OpenSSL takes about 5 MB of that and is imported by the
event loop, by tornado and by ``hashlib``, although processes of figpick speak
plain HTTP and the hash functions of the interpreter are enough for their small
messages. ``curses``, with which tornado colours logs, and the parsers of mail
behind ``http.client``, of which tornado uses a table, take another 1 MB.
"""

import sys
from http import HTTPStatus
from types import ModuleType

# The importers of these modules have a replacement when they are missing.
OPTIONAL = ("_hashlib", "curses")


class TlsError(OSError):
    """Stands for each class of the ``ssl`` module; it is never raised."""


def omit_unused_libraries(settings):
    """Leaves out libraries; to be called before the event loop is imported.

    A control process hashes large snapshots and the export of metrics may use
    HTTPS, so both keep OpenSSL.

    :param settings: :class:`~figpick.base._settings.Settings`.
    :return: whether libraries are left out.
    """
    if settings["roles"] != ["node"] or "metrics" in settings:
        return False
    for name in OPTIONAL:
        # ``None`` makes an import fail with ImportError.
        sys.modules.setdefault(name, None)
    sys.modules.setdefault("ssl", _TlsModule("ssl"))
    sys.modules.setdefault("http.client", _client_module())
    return True


def _client_module():
    module = ModuleType("http.client")
    module.responses = {int(status): status.phrase for status in HTTPStatus}
    return module


class _TlsModule(ModuleType):
    """Gives a placeholder for each name, since importers look some up."""

    def __getattr__(self, name):
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.isupper() else TlsError
