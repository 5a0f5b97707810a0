"""Decides when control processes with new disks form a quorum.

A quorum is formed once, when every control process of the settings has reported
the identity of its new disk. A process whose disk was replaced has a new identity,
so it cannot vote with an empty log under the old one.
"""

from secrets import token_hex

from ._consensus_messages import Membership

IDENTITY_BYTES = 4


def new_identity(name):
    """Returns a random identity for a process with a new disk.

    :param name: name of the process.
    """
    return f"{name}#{token_hex(IDENTITY_BYTES)}"


def name_of(identity):
    """Returns the process name that an identity contains."""
    return identity.partition("#")[0]


class Formation:
    """What a process with a new disk has learned from the other processes.

    :param own_id: identity of this process.
    :param addresses: peer addresses of all control processes by name.
    """

    def __init__(self, own_id, addresses):
        self._own_id = own_id
        self._addresses = addresses
        self._new_identities = {name_of(own_id): own_id}
        self._formed_members = None
        self._must_be_added = name_of(own_id) not in addresses

    @property
    def must_be_added(self):
        """Whether an operator must add this process to the quorum."""
        return self._must_be_added

    @property
    def members(self):
        """First :class:`Membership` of the quorum, or ``None`` while it is unknown."""
        if self._formed_members is not None:
            return self._formed_members
        if self._must_be_added or set(self._new_identities) != set(self._addresses):
            return None
        voters = {
            identity: self._addresses[name]
            for name, identity in sorted(self._new_identities.items())
        }
        return Membership(voters, {})

    def record_identity(self, description):
        """Records what another process reported about itself.

        :param description: dict with ``identity``, ``formed`` (whether the log of the
            process has entries) and ``first_members`` (fields of the first
            :class:`Membership`, or ``None`` when its log no longer contains them).
        """
        identity = description["identity"]
        if not description["formed"]:
            self._new_identities[name_of(identity)] = identity
            return
        first_members = description["first_members"]
        if first_members and self._own_id in first_members["voters"]:
            self._formed_members = Membership(**first_members)
        else:
            self._must_be_added = True
