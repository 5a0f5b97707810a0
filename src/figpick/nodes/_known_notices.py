"""What calling nodes know of upstreams, for owners that have just started.

An upstream states its limit and its end in responses and to the process beside it. When
that process starts again, the nodes that passed on those responses still know both and
state them as they connect.
"""

from typing import NamedTuple

MAX_HOSTS = 4096
MAX_INSTANCES = 8


class KnownNotice(NamedTuple):
    """What is known of one incarnation of an upstream.

    :param instance: key of the incarnation.
    :param rate_limit: requests per second that it takes, 0 without a limit.
    :param is_leaving: whether it has announced its end.
    """

    instance: str
    rate_limit: float = 0.0
    is_leaving: bool = False


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
        if rate_limit or host in self._hosts:
            self._update(host, instance, rate_limit=rate_limit)

    def mark_leaving(self, host, instance):
        """Records that an instance has announced its end, which is final."""
        self._update(host, instance, is_leaving=True)

    def is_leaving(self, host, instance):
        """Returns whether an instance has announced its end."""
        known = self._hosts.get(host)
        return known is not None and instance in known and known[instance].is_leaving

    def _update(self, host, instance, **fields):
        known = self._hosts.setdefault(host, {})
        notice = known.pop(instance, KnownNotice(instance))._replace(**fields)
        if notice != KnownNotice(instance):
            known[instance] = notice
        if len(known) > MAX_INSTANCES:
            del known[next(iter(known))]
        if len(self._hosts) > MAX_HOSTS:
            del self._hosts[next(iter(self._hosts))]
