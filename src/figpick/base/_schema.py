"""Checks JSON documents against typed definitions.

The schema is derived from the types. ``msgspec`` decides whether a document is valid.
``jsonschema`` lists every fault of an invalid one; it is imported only then, since it
takes about 4 MB of resident memory.
"""

import msgspec

from ._errors import Fault, InvalidDocumentError

MAX_DOCUMENT_BYTES = 1024 * 1024


def read_file(path, type_):
    """Reads and checks a JSON file.

    :param path: file to read.
    :param type_: ``TypedDict`` that describes the document.
    :return: the checked document as a dict.
    :raises InvalidDocumentError: when the file is missing, not JSON or does not
        match the type.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise InvalidDocumentError(path, [Fault("file", error.strerror)]) from error
    return parse(data, type_, str(path))


def parse(data, type_, source):
    """Decodes and checks JSON bytes.

    :param data: encoded document, at most 1 MiB.
    :param type_: ``TypedDict`` that describes the document.
    :param source: origin of the document, for error messages.
    :return: the checked document as a dict.
    :raises InvalidDocumentError: with every fault found.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        fault = Fault("file", f"larger than {MAX_DOCUMENT_BYTES} bytes")
        raise InvalidDocumentError(source, [fault])
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidDocumentError(source, [Fault("file", str(error))]) from error
    return check(document, type_, source)


def check(document, type_, source):
    """Checks a decoded document.

    :param document: decoded JSON value.
    :param type_: ``TypedDict`` that describes the document.
    :param source: origin of the document, for error messages.
    :return: the checked document.
    :raises InvalidDocumentError: with every fault found.
    """
    try:
        converted = msgspec.convert(document, type_)
    except msgspec.ValidationError as error:
        faults = list_faults(document, type_) or [Fault("document", str(error))]
        raise InvalidDocumentError(source, faults) from error
    # The conversion drops unknown keys, so any difference is due to unknown keys.
    if converted != document:
        raise InvalidDocumentError(source, list_faults(document, type_))
    return converted


def list_faults(document, type_):
    """Returns every fault of a document.

    :return: list of :class:`Fault`, empty for a valid document.
    """
    from jsonschema import Draft202012Validator

    schema = msgspec.json.schema(type_)
    _forbid_unknown_keys(schema)
    errors = Draft202012Validator(schema).iter_errors(document)
    return sorted(Fault(_path(error), error.message) for error in errors)


def _path(error):
    return ".".join(str(part) for part in error.absolute_path) or "document"


def _forbid_unknown_keys(schema):
    if isinstance(schema, dict):
        if "properties" in schema:
            schema["additionalProperties"] = False
        for value in schema.values():
            _forbid_unknown_keys(value)
    elif isinstance(schema, list):
        for value in schema:
            _forbid_unknown_keys(value)
