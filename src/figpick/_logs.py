"""Logging with a fixed prefix for each component."""

import sys

import logbook


def logger(component):
    """Gives the logger of a component.

    :param component: prefix of each line, such as ``control``.
    """
    return logbook.Logger(component)


def start(level, name):
    """Writes log lines to standard error.

    :param level: least level, such as ``info``.
    :param name: name of the process.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.format_string = (
        "{record.time:%Y-%m-%dT%H:%M:%S.%f} "
        + name
        + " {record.level_name} {record.channel}: {record.message}"
    )
    handler.push_application()
