"""What an upstream states about itself in the head of a response."""

import re
from typing import NamedTuple

# Longer numbers are not meant as a rate.
DECIMAL = re.compile(rb"\d{1,12}(\.\d{0,12})?|\.\d{1,12}")
IS_LEAVING = b"1"


class UpstreamNotice(NamedTuple):
    """What the head of a response states about its upstream.

    :param rate_limit: requests per second that it takes from all nodes together,
        ``None`` if it names none or one that is not a number.
    :param is_leaving: whether it says that it is leaving.
    :param invalid_limit: the value that is not a number, as bytes, or ``None``.
    """

    rate_limit: float | None
    is_leaving: bool
    invalid_limit: bytes | None = None


def read_notice(headers, names):
    """Reads the notice in the headers of a response.

    Of several limits the lowest one applies.

    :param headers: list of name and value pairs.
    :param names: :class:`~figpick.wire.HeaderNames`.
    :return: :class:`UpstreamNotice`.
    """
    rate_limit = invalid_limit = None
    is_leaving = False
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == names.rate_limit:
            value = value.strip()
            if not DECIMAL.fullmatch(value):
                invalid_limit = value
            elif rate_limit is None or float(value) < rate_limit:
                rate_limit = float(value)
        elif lower_name == names.leaving:
            is_leaving = is_leaving or value.strip() == IS_LEAVING
    return UpstreamNotice(rate_limit, is_leaving, invalid_limit)
