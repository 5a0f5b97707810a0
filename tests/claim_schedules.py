"""Random schedules of claimants, holders, restarts and roster changes."""

import random

from figpick.calls._plans import ClockReading
from figpick.claims._claim_holder import GRANTED, Claim, Holder, decide
from figpick.claims._rosters import GROUP_SIZE, group_holders

NAMES = "abcde"
SERVICE = "parts"
KEY_HASH = "00000000ffff"
GIVE_UP_S = 1.0
STEPS = 250


class Claimant:
    """One attempt to claim and run the request."""

    def __init__(self, name, claim, size):
        self.name = name
        self.claim = claim
        self.size = size
        self.replies = []
        self.is_open = True


class Schedule:
    """Runs one schedule; ``executed`` lists the times at which the request ran.

    :param seed: seed of all random choices.
    :param uuid7: whether the key carries its creation time.
    """

    def __init__(self, seed, uuid7):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.clock_skew = {name: self.random.uniform(-0.4, 0.4) for name in NAMES}
        self.created = 1002.0 + self.random.uniform(0, 9) if uuid7 else None
        self.rosters = [self._make_roster(1, list(NAMES[:GROUP_SIZE]), [1] * 3, 1002.0)]
        self.holders = {}
        for name in NAMES:
            self._start(name)
        self.now = 1002.5
        self.messages = []
        self.claimants = []
        self.copies = {}
        self.executed = []

    def run(self):
        actions = (
            [self._send_claim] * 3
            + [self._deliver_message] * 20
            + [self._confirm_roster] * 3
            + [self._advance_copy] * 6
            + [
                self._adopt_random_roster,
                self._restart,
                self._change_roster,
                self._advance_time,
                self._lose_messages,
            ]
        )
        for name in NAMES:
            self._adopt(name, self.rosters[0])
            self.holders[name].confirm(1, self.now)
        for _ in range(STEPS):
            self.random.choice(actions)()
        return self.executed

    def _clock_reading(self, name):
        return ClockReading(self.now, self.now + self.clock_skew[name])

    def _make_roster(self, epoch, positions, epochs, changed):
        since = self.rosters[0]["since"] if epoch > 1 else changed
        return {
            "service": SERVICE,
            "epoch": epoch,
            "positions": positions,
            "epochs": epochs,
            "since": since,
            "changed": changed,
        }

    def _start(self, name):
        self.holders[name] = Holder(name, self._clock_reading(name))
        self._adopt(name, self.random.choice(self.rosters))

    def _adopt(self, name, roster):
        if roster["epoch"] > self.holders[name].epoch:
            self.holders[name].adopt(roster, self._clock_reading(name))

    def _restart(self):
        name = self.random.choice(NAMES)
        self.copies.pop(name, None)
        self._start(name)

    def _adopt_random_roster(self):
        self._adopt(self.random.choice(NAMES), self.random.choice(self.rosters))

    def _confirm_roster(self):
        name = self.random.choice(NAMES)
        self._adopt(name, self.rosters[-1])
        self.holders[name].confirm(self.rosters[-1]["epoch"], self.now)

    def _change_roster(self):
        last = self.rosters[-1]
        index = self.random.randrange(GROUP_SIZE)
        positions, epochs = list(last["positions"]), list(last["epochs"])
        positions[index] = self.random.choice(NAMES)
        epochs[index] = last["epoch"] + 1
        self.rosters.append(
            self._make_roster(last["epoch"] + 1, positions, epochs, self.now)
        )

    def _advance_time(self):
        step_s = self.random.choice((0.1, 0.1, 5.0, 5.0, 200.0, 700.0))
        if step_s > GIVE_UP_S:
            for claimant in self.claimants:
                self._give_up(claimant)
        self.now += step_s

    def _send_claim(self):
        if self.created is not None and self.now < self.created:
            return
        roster = self.random.choice(self.rosters[-2:])
        name = f"claimant-{len(self.claimants)}"
        claim = Claim(SERVICE, roster["epoch"], 0, KEY_HASH, self.created, name, 10.0)
        group = group_holders(roster["positions"], 0)
        claimant = Claimant(name, claim, len(group))
        self.claimants.append(claimant)
        self.messages += [("claim", claimant, holder) for holder in group]

    def _deliver_message(self):
        if not self.messages:
            return
        index = self.random.randrange(len(self.messages))
        kind, claimant, name = self.messages.pop(index)
        holder, reading = self.holders[name], self._clock_reading(name)
        if kind == "claim":
            reply = holder.claim(claimant.claim, reading)
            if claimant.is_open:
                claimant.replies.append(reply)
                self._decide(claimant)
        elif kind == "finish":
            holder.finish(claimant.claim, None, reading)
        else:
            holder.release(claimant.claim, reading)

    def _decide(self, claimant):
        if decide(claimant.replies, claimant.size).result == GRANTED:
            if self.random.random() < 0.2:
                self._give_up(claimant)
                return
            claimant.is_open = False
            self.executed.append(self.now)
            self._send_all("finish", claimant)
        elif self.random.random() < 0.1:
            self._give_up(claimant)

    def _give_up(self, claimant):
        if claimant.is_open:
            claimant.is_open = False
            self._send_all("release", claimant)

    def _send_all(self, kind, claimant):
        roster = self.rosters[claimant.claim.epoch - 1]
        names = group_holders(roster["positions"], 0)
        self.messages += [(kind, claimant, name) for name in names]

    def _lose_messages(self):
        self.random.shuffle(self.messages)
        del self.messages[self.random.randrange(len(self.messages) + 1) :]

    def _advance_copy(self):
        """Advances one copy by a step, so that other actions run between its steps."""
        name = self.random.choice(NAMES)
        holder = self.holders[name]
        if name not in self.copies:
            for position, others in holder.unsynced_groups():
                if position == 0:
                    self.copies[name] = (holder.epoch, others, [], self.now)
            return
        epoch, others, copies, requested_at = self.copies[name]
        if len(copies) < len(others):
            source = others[len(copies)]
            self._adopt(source, self.rosters[epoch - 1])
            copy = self.holders[source].serve_copy(
                epoch, 0, self._clock_reading(source)
            )
            copies.append(copy)
        else:
            del self.copies[name]
            holder.install_copies(
                epoch, 0, copies, requested_at, self._clock_reading(name)
            )
