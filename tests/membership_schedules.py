"""Seeded schedules of replaced control hosts, lost disks, power losses and cuts.

``python -m tests.membership_schedules FIRST COUNT`` runs schedules and prints failures.
A schedule loses no more disks at once than its fleet must bear. It ends with a last
fault, after which every acknowledged change must be readable.
"""

import random
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from .membership_fleet import NEVER, SimulatedFleet

# Number of control hosts, and how many of their disks may be lost at once.
FLEETS = ((3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (11, 2))
# Bounds of the users' platform.
CATCH_UP_S = 4.0
RECOVERY_S = 15.0


class Outcome(NamedTuple):
    """Result of a schedule.

    :param acknowledged: number of acknowledged changes.
    :param events: list of texts.
    :param problems: list of texts, empty if nothing is wrong.
    """

    seed: int
    acknowledged: int
    events: list
    problems: list


class MembershipSchedule(SimulatedFleet):
    """One seeded run.

    :param seed: seed of all random choices.
    :param fleet: number of hosts and tolerated losses, or ``None`` to draw them.
    """

    def __init__(self, seed, fleet=None):
        rng = random.Random(seed)
        super().__init__(rng, *(fleet or rng.choice(FLEETS)))
        self._seed = seed

    def run(self):
        """Runs the schedule.

        :return: :class:`Outcome`.
        """
        self.start()
        for _ in range(self._random.randint(1, 5)):
            self._wait(self._random.uniform(0.2, 5.0))
            self._disturb()
        if self._random.random() < 0.7:
            self.wait_until_nothing_is_lost()
        return self.finish()

    def finish(self):
        """Lets the last fault strike and checks what can be read back.

        :return: :class:`Outcome`.
        """
        self._close()
        self._wait(RECOVERY_S)
        self._check_read()
        self._problems.extend(self._simulation.violations)
        return Outcome(
            self._seed, len(self._acknowledged), self._events, self._problems
        )

    def _disturb(self):
        kinds = [
            self._kill, self._wipe, self._restart, self._cut,
            self.replace_unannounced, self.replace_unannounced,
            self.replace_planned, self.replace_planned,
        ]  # fmt: skip
        if self._random.random() < 0.15:
            self._random.choice((self._lose_power_everywhere, self._split))()
            return
        whole = [slot for slot in self._slots if slot not in self._lost_slots()]
        if len(self._lost_slots()) >= self._tolerated or not whole:
            return
        slot = self._random.choice(whole)
        leader = self._simulation.leader()
        if self._random.random() < 0.5:
            slot = next((each for each in whole if each.process is leader), slot)
        self._random.choice(kinds)(slot)

    def _stop(self, process, is_power_lost=True):
        """Ends a process, at times in the middle of its next write."""
        if is_power_lost and process.is_up and self._random.random() < 0.3:
            process.files.lose_power_at_write = True
            self._simulation.call_later(0.02, process.crash)
        else:
            process.crash()
        self._left_known_by[process.name] = set()

    def _return_later(self, slot, delay_s, process=None):
        """Starts a process after a delay; its slot then counts as lost for a while."""
        slot.lost_until = NEVER
        process = process or slot.process

        def start():
            if not process.is_up:
                process.start()
            # The record of its new start replaces its notice.
            for left in self._left_known_by.values():
                left.discard(process.disk_identity)
            self._disturbed_at = self._simulation.now
            slot.lost_until = self._simulation.now + CATCH_UP_S

        self._simulation.call_later(delay_s, start)

    def _kill(self, slot):
        self._note("kill", slot)
        self._stop(slot.process)
        self._return_later(slot, self._random.uniform(0.3, 3.0))

    def _wipe(self, slot):
        self._note("wipe", slot)
        slot.process.crash()
        self._left_known_by[slot.process.name] = set()
        slot.process.replace_disk(self._new_identity(slot.process))
        self._return_later(slot, self._random.uniform(0.3, 2.0))

    def _restart(self, slot):
        self._note("restart", slot)
        self._terminate(slot.process)
        self._return_later(slot, self._random.uniform(0.6, 2.0))

    def _terminate(self, process):
        process.call(process.replica.transfer_leadership, process.now())
        self._announce_left(process)
        self._simulation.call_later(
            self._random.uniform(0.05, 0.4), self._stop, process, False
        )

    def _cut(self, slot):
        self._note("cut", slot)
        name = slot.process.name
        self._simulation.isolate(name)
        slot.lost_until = NEVER

        def heal():
            links = self._simulation.cut_links
            links -= {link for link in links if name in link}
            self._disturbed_at = self._simulation.now
            slot.lost_until = self._simulation.now + CATCH_UP_S

        self._simulation.call_later(self._random.uniform(1.0, 6.0), heal)

    def replace_unannounced(self, slot):
        """Ends a host for good; its successor starts at another address."""
        self._note("replace", slot)
        self._stop(slot.process)
        slot.lost_until = NEVER
        delay_s = self._random.uniform(0.5, 2.0)
        self._simulation.call_later(delay_s, self._add_successor, slot)

    def _add_successor(self, slot):
        slot.process = self._add_host()
        self._note("successor", slot)
        slot.lost_until = self._simulation.now + CATCH_UP_S

    def replace_planned(self, slot):
        """Starts the successor of a host, which is then stopped for good."""
        self._note("replace as planned", slot)
        previous = slot.process
        self._add_successor(slot)

        def terminate():
            self._disturbed_at = self._simulation.now
            if previous.is_up:
                self._terminate(previous)

        self._simulation.call_later(self._random.uniform(0.5, 2.0), terminate)

    def _lose_power_everywhere(self):
        self._note("power loss of all")
        for slot in self._slots:
            if slot.process.is_up:
                self._stop(slot.process)
                self._return_later(slot, self._random.uniform(0.3, 1.2))

    def _split(self):
        if self._split_since < NEVER:
            return
        self._note("split")
        names = [slot.process.name for slot in self._slots]
        self._random.shuffle(names)
        half = names[: len(names) // 2]
        rest = names[len(names) // 2 :]
        links = {(a, b) for a in half for b in rest}
        links |= {(b, a) for a, b in links}
        self._simulation.cut_links |= links
        duration_s = self._random.uniform(2.0, 7.0)
        self._split_since = self._simulation.now

        def heal():
            self._simulation.cut_links -= links
            self._disturbed_at = self._simulation.now
            unready = self._lost_slots()
            self._split_since = NEVER
            for slot in unready:
                if slot.lost_until < NEVER:
                    slot.lost_until = self._simulation.now + CATCH_UP_S

        self._simulation.call_later(duration_s, heal)

    def wait_until_nothing_is_lost(self):
        """Waits until no host counts as lost by the pages of the platform."""
        for _ in range(200):
            if not self._lost_slots() and self._split_since == NEVER:
                return
            self._wait(0.1)

    def _close(self):
        self._wait_for_acknowledgement()
        self._is_closing = True
        self._simulation.cut_links.clear()
        lost = self._lost_slots()
        whole = [slot for slot in self._slots if slot not in lost]
        wiped = []
        if self._random.random() < 0.85:
            count = max(0, self._tolerated - len(lost))
            wiped = self._random.sample(whole, min(count, len(whole)))
        names = [slot.process.name for slot in wiped]
        self._note(f"last fault, wiped: {', '.join(names) or 'none'}")
        for slot in self._slots:
            if slot.process.is_up:
                self._stop(slot.process)
        for slot in wiped:
            slot.process.crash()
            slot.process.replace_disk(self._new_identity(slot.process))
        for slot in self._slots:
            self._return_later(slot, self._random.uniform(0.5, 1.5), slot.process)

    def _wait_for_acknowledgement(self):
        count = len(self._acknowledged)
        for _ in range(300):
            if len(self._acknowledged) > count:
                return
            self._wait(0.01)


def run_schedule(seed, fleet=None):
    """Runs one schedule.

    :return: :class:`Outcome`.
    """
    return MembershipSchedule(seed, fleet).run()


def main(first, count):
    """Runs schedules on two processors and prints those that fail.

    :return: number of failed schedules.
    """
    failed = 0
    acknowledged = 0
    with ProcessPoolExecutor(2) as pool:
        seeds = range(first, first + count)
        for outcome in pool.map(run_schedule, seeds, chunksize=10):
            acknowledged += outcome.acknowledged
            if outcome.problems:
                failed += 1
                print(outcome.seed, outcome.problems[:3], outcome.events)
    print(f"{count} schedules, {failed} failed, {acknowledged} changes acknowledged")
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
