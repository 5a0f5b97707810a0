"""Public functions for operators and programs.

Each function imports the modules that it uses, because a node must decide before the
event loop is imported which libraries it does not load.
"""


def run(settings_path):
    """Runs one process until it is stopped.

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

    :param address: peer address of a control process, or a list of addresses that
        are tried in turn.
    :param key: shared key.
    :param document: service document as a dict.
    :param base: version on which the change is based, 0 for a new document.
    :param change: id of the change; a retry must use the same id.
    :param author: author of the change.
    :return: dict with ``service``, ``version`` and ``change``.
    :raises PeerError: when the change is refused or no reply is received.
    """
    return _operator_client(address, key).put(document, base, change, author)


def get(address, key, service):
    """Returns the current document of a service.

    :return: dict with ``document`` and ``version``.
    :raises PeerError: when the document cannot be read.
    """
    return _operator_client(address, key).send("get", {"service": service})


def history(address, key, service):
    """Returns the changes of a service document, oldest first.

    :raises PeerError: when the changes cannot be read.
    """
    return _operator_client(address, key).send("history", {"service": service})


def state(address, key):
    """Returns a state dump of a process.

    :return: dict with the state of every component.
    :raises PeerError: when the process does not reply.
    """
    return _operator_client(address, key).send("state", {})


def status(address, key):
    """Returns the state of the control processes, confirmed by their quorum.

    :raises PeerError: when there is no quorum or no reply.
    """
    return _operator_client(address, key).send("status", {})


def add_member(address, key, name, member_address):
    """Adds a control process, which votes once it has received the whole log.

    :param name: name of the new control process.
    :param member_address: its peer address.
    :return: dict with the names of ``voters`` and ``learners``.
    :raises PeerError: when the request is refused or no reply is received.
    """
    return _operator_client(address, key).change_members("add", name, member_address)


def remove_member(address, key, name):
    """Removes a control process from the quorum.

    :return: dict with the names of ``voters`` and ``learners``.
    :raises PeerError: when the request is refused or no reply is received.
    """
    return _operator_client(address, key).change_members("remove", name)


def unquarantine(address, key, service, fingerprint):
    """Releases a request from quarantine.

    :param address: peer address of a node.
    :param fingerprint: fingerprint of the request.
    :raises PeerError: when the request is refused or no reply is received.
    """
    message = {"service": service, "fingerprint": fingerprint}
    return _operator_client(address, key).send("unquarantine", message)


def _operator_client(address, key):
    from .operators._client import OperatorClient

    return OperatorClient(address, key)
