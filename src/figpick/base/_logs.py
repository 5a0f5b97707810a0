"""Logging with a fixed prefix for each component.

Log lines are written as text for people, or as one JSON object per line for log
collectors. If a collector stops reading, lines are lost and the process does not block.
Lines about single calls are limited by :data:`CALL_LOG_LIMITER`; those above its rate
are counted and not written.
"""

import os
import sys

import logbook
import msgspec

from ._clock import Clock

# A node under overload refuses several hundred calls per second; a sample of them is
# enough to find the cause. A written line costs about 70 microseconds, an omitted line
# less than one.
LINES_PER_S = 30.0
BURST_LINES = 200.0


def logger(component):
    """Returns the logger of a component.

    :param component: prefix of each line, such as ``control``.
    """
    return logbook.Logger(component)


def start(level, name):
    """Starts logging as text to standard error.

    :param level: lowest level that is logged, such as ``info``.
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
    """Starts logging as JSON, one object per line, to standard output by default.

    :param level: lowest level that is logged, such as ``info``.
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
    """Stops the logging that :func:`start_structured` started.

    :param handler: :class:`JsonHandler` that it returned.
    """
    CallLogger.handler = None
    handler.pop_application()


class LogRateLimiter:
    """Limits the rate of log lines with a token bucket and counts omitted lines.

    :param lines_per_s: sustained rate in lines per second.
    :param burst: number of lines that may be written at once.
    """

    def __init__(self, lines_per_s=LINES_PER_S, burst=BURST_LINES):
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0
        self._omitted = {}

    def allow(self, message, now):
        """Returns whether a line may be written, and counts it if it may not.

        :param message: text of the line; omitted lines are counted by their text.
        :param now: monotonic time in seconds.
        """
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._lines_per_s
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self._omitted[message] = self._omitted.get(message, 0) + 1
            return False
        self._tokens -= 1.0
        return True

    def pop_omitted(self):
        """Returns and resets the numbers of omitted lines, by text."""
        omitted, self._omitted = self._omitted, {}
        return omitted


CALL_LOG_LIMITER = LogRateLimiter()


class CallLogger:
    """Writes log lines about single calls.

    Creating a record in the logging library takes two thirds of the time that a line
    costs. These lines therefore go directly to the handler of structured logs, if there
    is one.

    :param component: prefix of each line.
    """

    handler = None

    def __init__(self, component):
        self._component = component
        self._logger = logger(component)

    def info(self, message, fields):
        """Writes a line at level ``info``."""
        if self.handler is None:
            self._logger.info(message, extra=fields)
        elif self.handler.level <= logbook.INFO:
            self.handler.write("info", self._component, message, fields)


class JsonHandler(logbook.Handler):
    """Writes log records as JSON without blocking.

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
        self._lost_lines = 0
        self._write_error = None

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
        :param fields: dict of additional fields.
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
            # The collector does not read: drop the line rather than block.
            return
        except OSError as error:
            # The request or task that is logged must not fail with a disk.
            self._lost_lines += 1
            self._write_error = str(error)
            return
        if self._lost_lines:
            fields = {"lines": self._lost_lines, "reason": self._write_error}
            self._lost_lines = 0
            self.write("error", "logs", "Lines could not be written.", fields)
