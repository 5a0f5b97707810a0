"""One-line functions for operators and programs.

Modules are imported by the functions that use them: a node must decide what to
leave out of its memory before the event loop is imported.
"""


def run(settings_path):
    """Runs one process until it is told to stop.

    :param settings_path: JSON settings file.
    :raises InvalidDocumentError: when the settings have faults.
    """
    from .base import _settings
    from .roles import _footprint

    settings = _settings.load(settings_path)
    _footprint.omit_unused_libraries(settings)
    from .roles import _compose

    _compose.run(settings)


def check(path):
    """Checks a service document.

    :param path: JSON file.
    :return: the checked document.
    :raises InvalidDocumentError: with every fault found.
    """
    from .registry import _documents

    return _documents.load(path)


def put(address, key, document, base, change=None, author=""):
    """Changes a service document.

    :param address: peer address of a control process, or a list that is tried in
        turn.
    :param key: shared key.
    :param document: service document as a dict.
    :param base: version that the change is based on, 0 for a new document.
    :param change: identity of the change; a resend must carry the same.
    :param author: who makes the change.
    :return: dict with ``service``, ``version`` and ``change``.
    :raises PeerError: when the change is refused or not answered.
    """
    return _operator(address, key).put(document, base, change, author)


def get(address, key, service):
    """Reads the current document of a service.

    :return: dict with ``document`` and ``version``.
    :raises PeerError: when it cannot be read.
    """
    return _operator(address, key).send("get", {"service": service})


def history(address, key, service):
    """Lists the changes of a service, oldest first.

    :raises PeerError: when they cannot be read.
    """
    return _operator(address, key).send("history", {"service": service})


def state(address, key):
    """Dumps the state of a process.

    :return: dict with the state of every part.
    :raises PeerError: when the process does not answer.
    """
    return _operator(address, key).send("state", {})


def status(address, key):
    """Gives the state of the quorum of control processes, confirmed by it.

    :raises PeerError: when there is no quorum or no answer.
    """
    return _operator(address, key).send("status", {})


def add_member(address, key, name, member_address):
    """Adds a control process; it votes once it has the whole log.

    :param name: name of the new control process.
    :param member_address: its peer address.
    :return: dict with the names of ``voters`` and ``learners``.
    :raises PeerError: when it is refused or not answered.
    """
    return _operator(address, key).change_members("add", name, member_address)


def remove_member(address, key, name):
    """Removes a control process from the quorum.

    :return: dict with the names of ``voters`` and ``learners``.
    :raises PeerError: when it is refused or not answered.
    """
    return _operator(address, key).change_members("remove", name)


def unquarantine(address, key, service, fingerprint):
    """Releases a request that was quarantined.

    :param address: peer address of a node.
    :param fingerprint: fingerprint of the request.
    :raises PeerError: when it is refused or not answered.
    """
    message = {"service": service, "fingerprint": fingerprint}
    return _operator(address, key).send("unquarantine", message)


def _operator(address, key):
    from .operators._client import OperatorClient

    return OperatorClient(address, key)
