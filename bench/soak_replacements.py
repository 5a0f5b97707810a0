"""Control hosts of the soak that lose their disks or are replaced by others."""

import asyncio
import random
import shutil
import signal

from bench.soak_signals import Event, SignalledProcess

MEAN_DISK_EVENT_INTERVAL_S = 4.0
MIN_DISK_EVENT_INTERVAL_S = 1.0
DISK_EVENTS = ("wipe", "replace", "replace-planned")
# A host counts as lost until it has run for this time, by the pages of the platform.
CATCH_UP_S = 4.0
# Time between the start of a successor and the end of its predecessor, or the reverse.
SUCCESSOR_S = 1.0
FINAL_DOWN_S = (0.3, 1.2)


def draw_disk_events(seed, seconds, control_count):
    """Returns the random events of disks and control hosts, in order of their start.

    :param seconds: duration of traffic in seconds.
    """
    rng = random.Random(f"disks {seed}")
    events = []
    at_s = rng.uniform(0.5, 2.0)
    while at_s < seconds:
        kind = rng.choice(DISK_EVENTS) + rng.choice(("", "-leader"))
        target, for_s = rng.randrange(control_count), rng.choice((0.3, 1.0))
        events.append(Event(round(at_s, 2), kind, target, 1, SUCCESSOR_S, for_s))
        at_s += MIN_DISK_EVENT_INTERVAL_S
        at_s += rng.expovariate(1 / MEAN_DISK_EVENT_INTERVAL_S)
    return events


class Replacements:
    """Replaces control hosts and their disks in a running cluster.

    :param seed: seed of the last loss of disks.
    :param cluster: :class:`~bench.soak_cluster.Cluster`.
    :param processes: list of all processes, in which successors take their places.
    :param addresses: list of the addresses that operators use, changed in place.
    :param arguments: arguments of :class:`~bench.soak_signals.SignalledProcess`.
    """

    def __init__(self, seed, cluster, processes, addresses, *arguments):
        self._rng = random.Random(f"last disks {seed}")
        self._cluster = cluster
        self._processes = processes
        self._addresses = addresses
        self._arguments = arguments
        self.count = 0
        # Processes that have or had successors.
        self.previous = []

    async def apply(self, event, number):
        """Applies an event to the control host with a number.

        It returns once the host no longer counts as lost.
        """
        self.count += 1
        self._cluster.is_first_start = False
        if event.kind.startswith("wipe"):
            await self._wipe(number, event.for_s)
        elif event.kind.startswith("replace-planned"):
            previous = self._processes[number]
            await self._start_successor(number)
            await asyncio.sleep(event.gap_s)
            await previous.end(signal.SIGTERM, for_good=True)
        else:
            await self._processes[number].end(signal.SIGKILL, for_good=True)
            await asyncio.sleep(event.gap_s)
            await self._start_successor(number)
        await asyncio.sleep(CATCH_UP_S)

    async def lose_disks_at_the_end(self):
        """Kills all control processes and removes as many disks as must be borne."""
        self._cluster.is_first_start = False
        numbers = range(self._cluster.control_count)
        lost = self._rng.sample(numbers, self._cluster.tolerated_losses)
        delays_s = [self._rng.uniform(*FINAL_DOWN_S) for _ in numbers]
        await asyncio.gather(
            *(
                self._wipe(number, delays_s[number])
                if number in lost
                else self._processes[number].kill(delays_s[number])
                for number in numbers
            )
        )
        return lost

    async def _wipe(self, number, for_s):
        process = self._processes[number]
        await process.end(signal.SIGKILL)
        shutil.rmtree(self._cluster.data_folder(number))
        process.rewrite(self._cluster.settings(number))
        await asyncio.sleep(for_s)
        await process.start()

    async def _start_successor(self, number):
        cluster = self._cluster
        cluster.replace_host(number)
        process = cluster.make_process(number, *self._arguments_of(number))
        await process.start()
        self.previous.append(self._processes[number])
        self._processes[number] = process
        self._addresses[number] = cluster.address(number, "control")
        for other, each in enumerate(self._processes):
            each.rewrite(cluster.settings(other))

    def _arguments_of(self, number):
        checker, responses = self._arguments
        return checker, SignalledProcess, number, responses
