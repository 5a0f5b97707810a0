"""Decides when control processes with new disks form a quorum.

A quorum is formed once, when every control process of the settings has answered
with the identity of its new disk. A process whose disk was replaced has a new
identity, so it cannot vote in place of the old one with an empty log.
"""

from secrets import token_hex

from ._consensus_messages import Membership

IDENTITY_BYTES = 4


def new_identity(name):
    """Gives the identity of a process with a new disk.

    :param name: name of the process.
    """
    return f"{name}#{token_hex(IDENTITY_BYTES)}"


def name_of(identity):
    """Gives the name of the process with an identity."""
    return identity.partition("#")[0]


class Formation:
    """What a new process has learned from the others.

    :param own_id: identity of this process.
    :param addresses: peer addresses of all control processes by name.
    """

    def __init__(self, own_id, addresses):
        self._own_id = own_id
        self._addresses = addresses
        self._blank = {name_of(own_id): own_id}
        self._formed = None
        self._must_wait = name_of(own_id) not in addresses

    @property
    def must_wait(self):
        """Whether the process can join only when an operator adds it."""
        return self._must_wait

    @property
    def members(self):
        """First :class:`Membership`, or ``None`` while it is not known."""
        if self._formed is not None:
            return self._formed
        if self._must_wait or set(self._blank) != set(self._addresses):
            return None
        voters = {
            identity: self._addresses[name]
            for name, identity in sorted(self._blank.items())
        }
        return Membership(voters, {})

    def learn(self, answer):
        """Takes the answer of another process.

        :param answer: dict with ``identity``, ``formed`` and ``first_members``.
        """
        identity = answer["identity"]
        if not answer["formed"]:
            self._blank[name_of(identity)] = identity
            return
        first_members = answer["first_members"]
        if first_members and self._own_id in first_members["voters"]:
            self._formed = Membership(**first_members)
        else:
            self._must_wait = True
