"""Decides what to tell which process about members and document versions."""

from ._members import FAILED, LEFT, Member

PERIOD_S = 1.0


class Gossip:
    """Exchanges views with random peers.

    :param members: :class:`Members`.
    :param versions: function that gives the known document versions, a dict from
        service to version.
    :param seeds: peer addresses to contact when no other member is known.
    :param random: source of random choices, such as ``random.Random``.
    """

    def __init__(self, members, versions, seeds, random):
        self._members = members
        self._versions = versions
        self._seeds = list(seeds)
        self._random = random

    def choose_peer(self):
        """Chooses the peer address for the next exchange, or ``None``."""
        own = self._members.own
        addresses = [
            member.peer_address
            for member in self._members
            if member.name != own.name and member.state not in (LEFT, FAILED)
        ]
        seeds = [seed for seed in self._seeds if seed != own.peer_address]
        if not addresses:
            addresses = seeds
        return self._random.choice(addresses) if addresses else None

    def message(self):
        """Makes the message for a peer."""
        return {"members": list(self._members), "versions": self._versions()}

    def receive(self, message):
        """Takes the message of a peer.

        :return: document versions that the peer knows.
        """
        for fields in message["members"]:
            self._members.merge(Member(*fields))
        return message["versions"]
