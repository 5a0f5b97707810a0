"""Rosters: which nodes of a service hold its claims.

A roster assigns a fixed number of positions to nodes of the service. The nodes at
positions p, p+1 and p+2 form the group that holds the claims of the keys that map
to p. From one epoch to the next at most one position of each group changes, so
that a quorum of the old group and one of the new group always share a node.
"""

from functools import cached_property
from typing import NamedTuple, NotRequired, TypedDict

POSITION_COUNT = 48
GROUP_SIZE = 3
FIRST_EPOCH = 1
# A shorter delay would move positions during a restart of a host.
REPLACE_AFTER_S = 30.0
# All nodes of a new deployment announce themselves within this time.
SETTLE_S = 2.0
# A service with fewer than three nodes waits longer for a third one, because a group
# that starts with fewer than three holders is hard to extend later.
SMALL_GROUP_SETTLE_S = 5.0
# Time for a new holder to copy its records before the group changes again.
CHANGE_PERIOD_S = 5.0


class Roster(TypedDict):
    """The holders of the claims of one service.

    :param service: name of the service.
    :param epoch: number of the roster, from 1, one higher for each change.
    :param positions: name of the node at each position.
    :param epochs: epoch at which the node at each position was assigned.
    :param since: Unix time in seconds when the first roster was made.
    :param changed: Unix time in seconds when this roster was made.
    """

    service: str
    epoch: int
    positions: list[str]
    epochs: NotRequired[list[int]]
    since: NotRequired[float]
    changed: NotRequired[float]


class Candidate(NamedTuple):
    """A node that can hold positions, as seen by the leader of the control processes.

    :param name: name of the node.
    :param data_center: its data centre.
    :param seen_s: seconds since the node was first seen.
    :param failed_s: seconds since it failed or left, 0 while it is healthy.
    """

    name: str
    data_center: str
    seen_s: float
    failed_s: float


def position_of(key_hash, count):
    """Returns the first position of the group of a key.

    :param key_hash: hash of the key as hex digits.
    :param count: number of positions.
    """
    return int(key_hash[:8], 16) % count


def group_holders(positions, position):
    """Returns the distinct holders of the group that starts at a position."""
    count = len(positions)
    names = [positions[(position + step) % count] for step in range(GROUP_SIZE)]
    return list(dict.fromkeys(names))


def propose(service, current, candidates, now):
    """Returns a proposal for the next roster of a service.

    :param service: name of the service.
    :param current: active :class:`Roster`, or ``None``.
    :param candidates: all known nodes of the service, as :class:`Candidate`.
    :param now: Unix time in seconds.
    :return: :class:`Roster`, or ``None`` when nothing has to change.
    """
    healthy = [item for item in candidates if item.failed_s == 0]
    if not healthy:
        return None
    if current is None:
        return _make_first_roster(service, healthy, now)
    if now - current.get("changed", 0.0) < CHANGE_PERIOD_S:
        return None
    layout = _Layout(current["positions"], candidates)
    changes = layout.plan_changes()
    if not changes:
        return None
    epoch = current["epoch"] + 1
    positions = list(current["positions"])
    epochs = list(current.get("epochs", [current["epoch"]] * len(positions)))
    for position, name in changes.items():
        positions[position] = name
        epochs[position] = epoch
    return Roster(
        service=service,
        epoch=epoch,
        positions=positions,
        epochs=epochs,
        since=current.get("since", 0.0),
        changed=now,
    )


def _make_first_roster(service, healthy, now):
    settle_s = SETTLE_S if len(healthy) >= GROUP_SIZE else SMALL_GROUP_SETTLE_S
    if min(item.seen_s for item in healthy) < settle_s:
        return None
    return Roster(
        service=service,
        epoch=FIRST_EPOCH,
        positions=_assign_all(healthy),
        epochs=[FIRST_EPOCH] * POSITION_COUNT,
        since=now,
        changed=now,
    )


def _assign_all(healthy):
    layout = _Layout([""] * POSITION_COUNT, healthy)
    for position in range(POSITION_COUNT):
        layout.assign(position, layout.best_node(position))
    return layout.positions


class _Layout:
    """Assignment of nodes to positions while a roster is being made."""

    def __init__(self, positions, candidates):
        self.positions = list(positions)
        self._candidates = candidates
        known = {item.name: item for item in candidates}
        self._data_centers = {name: item.data_center for name, item in known.items()}
        self._failed = {
            name for name, item in known.items() if item.failed_s >= REPLACE_AFTER_S
        }
        self._healthy = sorted(
            name for name, item in known.items() if item.failed_s == 0
        )
        self._loads = dict.fromkeys(self._healthy, 0)
        for name in positions:
            if name in self._loads:
                self._loads[name] += 1

    def assign(self, position, name):
        """Assigns a node to a position."""
        previous = self.positions[position]
        if previous in self._loads:
            self._loads[previous] -= 1
        self._loads[name] += 1
        self.positions[position] = name

    def best_node(self, position):
        """Returns the healthy node that suits a position best.

        Prefers nodes that are in no group of the position, then data centres with few
        neighbours, then nodes with few positions.
        """
        neighbors = self._neighbors(position)
        data_centers = [self._data_centers.get(name) for name in neighbors]

        def rank(name):
            data_center = self._data_centers[name]
            return (
                name in neighbors,
                data_centers.count(data_center),
                self._loads[name],
                name,
            )

        return min(self._healthy, key=rank)

    def plan_changes(self):
        """Assigns new nodes to positions, with at most one change in each group.

        :return: dict from position to the new node.
        """
        changes = {}
        for position in range(len(self.positions)):
            if any(self._share_group(position, other) for other in changes):
                continue
            name = self._find_replacement(position)
            if name is not None:
                self.assign(position, name)
                changes[position] = name
        return changes

    def _find_replacement(self, position):
        holder = self.positions[position]
        name = self.best_node(position)
        if holder in self._failed:
            # A group of three must not shrink: the remaining holders may not know
            # of a granted claim.
            return None if self._shrinks_group(position, name, GROUP_SIZE) else name
        if holder in self._neighbors(position) and len(self._healthy) >= GROUP_SIZE:
            name = self._target_positions[position]
            if name == holder or self._shrinks_group(position, name, 1):
                return None
            return name
        is_neighbor = name in self._neighbors(position)
        balances_load = self._loads[name] + 1 < self._loads.get(holder, 0)
        return name if balances_load and not is_neighbor else None

    def _shrinks_group(self, position, name, min_size):
        """Returns whether a group of at least ``min_size`` holders would lose one."""
        changed = list(self.positions)
        changed[position] = name
        for step in range(GROUP_SIZE):
            old = len(group_holders(self.positions, position - step))
            if old >= min_size and len(group_holders(changed, position - step)) < old:
                return True
        return False

    def _share_group(self, position, other):
        distance = abs(position - other)
        return min(distance, len(self.positions) - distance) < GROUP_SIZE

    @cached_property
    def _target_positions(self):
        """Positions of a layout made from scratch from the healthy nodes."""
        candidates = [item for item in self._candidates if item.failed_s == 0]
        return _assign_all(candidates)

    def _neighbors(self, position):
        count = len(self.positions)
        steps = [step for step in range(1 - GROUP_SIZE, GROUP_SIZE) if step]
        return [self.positions[(position + step) % count] for step in steps]


class Rosters:
    """Rosters known to a node; a roster is replaced only by one of a higher epoch."""

    def __init__(self):
        self._rosters = {}

    def get(self, service):
        """Returns the :class:`Roster` of a service, or ``None``."""
        return self._rosters.get(service)

    def adopt(self, roster):
        """Stores a roster unless the known one is at least as new.

        :param roster: :class:`Roster`.
        :return: whether the roster was newer.
        """
        known = self._rosters.get(roster["service"])
        if known is not None and roster["epoch"] <= known["epoch"]:
            return False
        self._rosters[roster["service"]] = roster
        return True

    def dump(self):
        """Returns the roster epochs by service."""
        return {name: roster["epoch"] for name, roster in self._rosters.items()}
