"""Has the ends of upstreams stored, and tells the nodes beside them."""

from ..base._errors import NoQuorumError
from ..base._logs import logger
from ._leader_requests import DEPART
from ._messages import StoredDepartures, encode

log = logger("control")


class DepartureAnnouncer:
    """Passes departures between nodes and the replicated log.

    :param member: :class:`~figpick.control._quorum_member.QuorumMember`.
    :param leader_requests: :class:`~figpick.control._leader_requests.LeaderRequests`.
    """

    def __init__(self, member, leader_requests):
        self._member = member
        self._leader_requests = leader_requests
        self._announced_index = 0

    def __repr__(self):
        return f"<DepartureAnnouncer up to {self._announced_index}>"

    async def store(self, departure, link):
        """Has a departure stored, and confirms it to the node that reported it.

        :param departure: :class:`~figpick.configuration.Departure`.
        :param link: link to the node.
        """
        try:
            await self._leader_requests.send(DEPART, departure._asdict())
        except NoQuorumError as error:
            fields = {**departure._asdict(), "reason": str(error)}
            log.info("The end of an upstream is not stored.", extra=fields)
        else:
            link.send(encode(StoredDepartures([departure.incarnation])))

    def send_all(self, link):
        """Sends all stored departures of the host at the other end of a new link."""
        self._send(link, 0)

    def announce(self, links):
        """Sends departures that were stored since the last call to their hosts.

        :param links: open links to all processes.
        """
        last = self._member.registry.departures.last_index
        announced, self._announced_index = self._announced_index, last
        if last == announced:
            return
        # The index decreases when the data folder is opened again after an error.
        after = announced if last > announced else 0
        for link in list(links):
            self._send(link, after)

    def _send(self, link, after):
        keys = self._member.registry.departures.of_host(link.peer, after)
        if keys:
            link.send(encode(StoredDepartures(keys)))
