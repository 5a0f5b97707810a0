"""Logging with a fixed prefix for each component.

People read lines of text; log collectors read JSON objects, one a line. A reader that
stops reading loses lines instead of blocking the process. Lines that come with each
call ask :data:`CALL_LOG_LIMITER` first; those over its rate are counted, not written.
"""

import os
import sys

import logbook
import msgspec

from ._clock import Clock

# A node under overload refuses some hundred calls a second; a sample of them tells
# the cause. A line costs some 70 microseconds, one that is left out less than one.
LINES_PER_S = 30.0
BURST_LINES = 200.0


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


def start_structured(level, name, descriptor=1):
    """Writes one JSON object a line to standard output.

    :param level: least level, such as ``info``.
    :param name: name of the process.
    :param descriptor: file descriptor to write to.
    :return: the :class:`JsonHandler`.
    """
    os.set_blocking(descriptor, False)
    handler = JsonHandler(name, descriptor, level=level.upper())
    handler.push_application()
    CallLogger.handler = handler
    return handler


def stop_structured(handler):
    """Ends what :func:`start_structured` began.

    :param handler: what it returned.
    """
    CallLogger.handler = None
    handler.pop_application()


class LogRateLimiter:
    """Decides which lines are written, and counts those that are not.

    :param lines_per_s: lines a second over a long time.
    :param burst: lines that may come at once.
    """

    def __init__(self, lines_per_s=LINES_PER_S, burst=BURST_LINES):
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._left = burst
        self._at = 0.0
        self._omitted = {}

    def allow(self, message, now):
        """Takes a line.

        :param message: text of the line; omitted lines are counted by it.
        :param now: monotonic seconds.
        :return: whether it may be written.
        """
        self._left = min(self._burst, self._left + (now - self._at) * self._lines_per_s)
        self._at = now
        if self._left < 1.0:
            self._omitted[message] = self._omitted.get(message, 0) + 1
            return False
        self._left -= 1.0
        return True

    def pop_omitted(self):
        """Gives the numbers of omitted lines by text since the last call."""
        omitted, self._omitted = self._omitted, {}
        return omitted


CALL_LOG_LIMITER = LogRateLimiter()


class CallLogger:
    """Writes lines that come with calls.

    The record that the library makes of a line takes two thirds of its time, so these
    lines go to the handler of structured logs directly, where there is one.

    :param component: prefix of each line.
    """

    handler = None

    def __init__(self, component):
        self._component = component
        self._logger = logger(component)

    def info(self, message, fields):
        """Writes a line of level ``info``."""
        if self.handler is None:
            self._logger.info(message, extra=fields)
        elif self.handler.level <= logbook.INFO:
            self.handler.write("info", self._component, message, fields)


class JsonHandler(logbook.Handler):
    """Writes records as JSON without ever blocking.

    :param name: name of the process.
    :param descriptor: non-blocking file descriptor.
    :param clock: :class:`~figpick.base._clock.Clock`.
    """

    def __init__(self, name, descriptor, clock=None, **options):
        super().__init__(**options)
        self._clock = clock or Clock()
        self._name = name
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=repr)

    def emit(self, record):
        """Writes one record."""
        fields = dict(record.extra)
        if record.exc_info:
            fields["error"] = record.formatted_exception
        self.write(record.level_name.lower(), record.channel, record.message, fields)

    def write(self, level, component, message, fields):
        """Writes one line.

        :param level: name of the level.
        :param component: prefix of the line.
        :param message: text of the line.
        :param fields: dict of what the line tells besides.
        """
        line = {
            "t": round(self._clock.wall(), 3),
            "node": self._name,
            "level": level,
            "part": component,
            "msg": message,
            **fields,
        }
        try:
            os.write(self._descriptor, self._encoder.encode(line) + b"\n")
        except (BlockingIOError, BrokenPipeError):
            # Nobody reads: the line is lost, the service goes on.
            return
