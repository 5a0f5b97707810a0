"""What calling nodes know of upstreams, for owners that have just started.

An upstream states its limit in responses, which the process beside it reads. When that
process starts again, the nodes that passed on those responses still know the limit and
state it as they connect.
"""

from typing import NamedTuple

MAX_HOSTS = 4096
MAX_INSTANCES = 8


class KnownNotice(NamedTuple):
    """What is known of one instance of an upstream.

    :param instance: identity of the instance.
    :param rate_limit: requests per second that it takes, 0 without a limit.
    """

    instance: str
    rate_limit: float


class KnownNotices:
    """The notices of the upstreams of other hosts."""

    def __init__(self):
        self._hosts = {}

    def __repr__(self):
        return f"<KnownNotices of {len(self._hosts)} hosts>"

    def of_host(self, host):
        """Returns the :class:`KnownNotice` list of the instances of a host.

        :param host: name of its node.
        """
        return list(self._hosts.get(host, {}).values())

    def set_rate_limit(self, host, instance, rate_limit):
        """Records the limit of an instance.

        :param host: name of the node on its host.
        :param instance: identity of the instance.
        :param rate_limit: requests per second that it takes, 0 without a limit.
        """
        known = self._hosts.get(host)
        if known is None:
            if not rate_limit:
                return
            known = self._add_host(host)
        if not rate_limit:
            known.pop(instance, None)
            return
        known[instance] = KnownNotice(instance, rate_limit)
        if len(known) > MAX_INSTANCES:
            del known[next(iter(known))]

    def _add_host(self, host):
        if len(self._hosts) >= MAX_HOSTS:
            del self._hosts[next(iter(self._hosts))]
        known = self._hosts[host] = {}
        return known
