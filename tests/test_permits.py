"""Tests that permits are not granted twice or leaked, and are divided by importance."""

import random

from hypothesis import given, settings, strategies as st

from figpick.permits._division import Demand, divide
from figpick.permits._permits import LEASE_S, Grant, PermitCache, PermitPool

demands = st.dictionaries(
    st.sampled_from("abcdef"),
    st.builds(
        Demand,
        st.lists(st.integers(0, 8), min_size=10, max_size=10).map(tuple),
        st.integers(0, 5),
    ),
    min_size=1,
)


@given(st.integers(0, 60), demands)
def test_division_has_no_inversion_of_importance(limit, wanted):
    """Guards against permits for less important requests while more important wait."""
    shares = divide(limit, wanted)
    total = sum(demand.total + demand.spare for demand in wanted.values())
    assert sum(shares.values()) == min(max(limit, 0), total)
    for importance in range(10):
        above = {c: sum(d.by_importance[importance:]) for c, d in wanted.items()}
        needs = [c for c, d in wanted.items() if d.by_importance[importance]]
        if any(shares[caller] < above[caller] for caller in wanted):
            assert all(shares[caller] <= above[caller] for caller in wanted)
            remaining = limit - sum(
                sum(demand.by_importance[importance + 1 :])
                for demand in wanted.values()
            )
            if remaining >= len(needs):
                assert all(shares[caller] >= 1 for caller in needs)


@given(st.integers(1, 40), st.integers(1, 100))
def test_division_is_proportional_within_one_importance(small, limit):
    """Guards against a calling node that starves others of equal importance."""
    level = (0,) * 5
    wanted = {
        "a": Demand((*level, small, *level[1:])),
        "b": Demand((*level, 3 * small, *level[1:])),
    }
    shares = divide(limit, wanted)
    if limit < 4 * small:
        assert abs(3 * shares["a"] - shares["b"]) <= 4


class Simulation:
    """Simulates calling nodes and an owner with lost, late and reordered messages."""

    LIMIT = 12

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.incarnation = 1000
        self.pool = PermitPool(self.LIMIT, self.incarnation, None)
        self.caches = {name: PermitCache() for name in "abcd"}
        self.waiting = dict.fromkeys(self.caches, 0)
        self.usage_number = 0
        self.messages = []

    def usage(self, name):
        cache = self.caches[name]
        self.usage_number += 1
        wanted = [0] * 10
        wanted[ord(name) % 10] = self.waiting[name]
        total = list(wanted)
        total[5] += cache.in_use
        demand = Demand(tuple(total), 1, tuple(wanted))
        return cache.make_usage(self.usage_number, demand, self.now)

    def step(self):
        self.now += self.random.choice((0.0, 0.01, 0.1, 0.1, 0.7))
        action = self.random.choice(
            (self.renew, self.deliver, self.deliver, self.use_permits)
        )
        action()
        if self.random.random() < 0.01:
            self.restart()
        self.check_limit()

    def renew(self):
        name = self.random.choice("abcd")
        self.waiting[name] = self.random.randrange(8)
        self.messages.append(("ask", name, self.usage(name), self.now))

    def deliver(self):
        if not self.messages:
            return
        index = self.random.randrange(len(self.messages))
        kind, name, content, sent_at = self.messages.pop(index)
        if self.random.random() < 0.1 or self.now - sent_at > 1.0:
            return
        if kind == "ask":
            grant = self.pool.renew(name, content, self.now)
            self.messages.append(("reply", name, grant, sent_at))
            for caller, push in self.pool.rebalance(self.now):
                self.messages.append(("push", caller, push, self.now))
        elif kind == "done":
            self.pool.acknowledge(name, content, self.now)
        else:
            self.caches[name].accept(content, sent_at)
            if kind == "push":
                self.messages.append(("done", name, self.usage(name), self.now))

    def use_permits(self):
        cache = self.caches[self.random.choice("abcd")]
        if self.random.random() < 0.7 and cache.free(self.now) > 0:
            cache.acquire(5)
        elif cache.in_use:
            cache.release(5)

    def restart(self):
        self.incarnation += 1
        self.pool = PermitPool(self.LIMIT, self.incarnation, self.now)
        # Connections to the earlier process end with it, so messages sent to it never
        # reach the new one.
        self.messages = [item for item in self.messages if item[0] in ("reply", "push")]

    def check_limit(self):
        for cache in self.caches.values():
            # Calls that outlive the lease of their permit are not covered by it.
            while self.now >= cache.expires_at and cache.in_use:
                cache.release(5)
        loads = [max(each.held(self.now), each.in_use) for each in self.caches.values()]
        assert sum(loads) <= self.LIMIT


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32))
def test_usable_permits_never_exceed_the_limit(seed):
    """Guards against permits granted twice when messages are lost or late."""
    simulation = Simulation(seed)
    for _ in range(400):
        simulation.step()


@settings(max_examples=50, deadline=None)
@given(st.integers(0, 1 << 32))
def test_permits_are_not_leaked(seed):
    """Guards against permits that remain granted to calling nodes that are gone."""
    simulation = Simulation(seed)
    for _ in range(200):
        simulation.step()
    simulation.now += LEASE_S + 1
    simulation.pool.expire(simulation.now)
    assert simulation.pool.committed == 0
    demand = Demand((0,) * 9 + (100,))
    fresh = PermitCache()
    grant = simulation.pool.renew("e", fresh.make_usage(1, demand, 0.0), simulation.now)
    assert grant.permits == Simulation.LIMIT


def test_restarted_owner_confirms_only_what_is_held():
    """Guards against two grants of the same permits across an owner's restart."""
    pool = PermitPool(10, 1, None)
    first, second = PermitCache(), PermitCache()
    demand = Demand((0,) * 9 + (8,))
    first.accept(pool.renew("a", first.make_usage(1, demand, 0.0), 0.0), 0.0)
    assert first.held(0.0) == 8
    pool = PermitPool(10, 2, 1.0)
    second.accept(pool.renew("b", second.make_usage(1, demand, 1.0), 1.0), 1.0)
    assert second.held(1.0) == 0
    first.accept(pool.renew("a", first.make_usage(2, demand, 1.1), 1.1), 1.1)
    assert first.held(1.1) == 8
    pool.confirm_members({"a", "b"})
    second.accept(pool.renew("b", second.make_usage(2, demand, 1.2), 1.2), 1.2)
    assert second.held(1.2) == 2


def test_silent_owner_leaves_one_permit_after_the_lease():
    """Guards against an upstream that gets no requests when only its node fails."""
    pool, cache = PermitPool(10, 1, None), PermitCache()
    demand = Demand((0,) * 9 + (8,))
    cache.accept(pool.renew("a", cache.make_usage(1, demand, 0.0), 0.0), 0.0)
    cache.owner_silent = True
    assert cache.free(LEASE_S - 0.1) == 8
    assert cache.free(LEASE_S + 0.1) == 1


def test_late_reply_does_not_replace_a_newer_push():
    """Guards against a reply, overtaken by a push, that restores recalled permits."""
    cache = PermitCache()
    cache.accept(Grant(1, 7, 2, 0.0), 10.0)
    cache.accept(Grant(8, 7, 1, LEASE_S), 9.9)
    assert cache.held(10.0) == 1


def test_returned_permits_are_not_granted_again_by_a_recall():
    """Guards against a recall that grants permits a calling node has returned."""
    pool, cache = PermitPool(10, 1, None), PermitCache()
    full_demand = Demand((0,) * 9 + (8,), 0, (0,) * 9 + (8,))
    cache.accept(pool.renew("a", cache.make_usage(1, full_demand, 0.0), 0.0), 0.0)
    no_demand = Demand((0,) * 10)
    pool.acknowledge("a", cache.make_usage(2, no_demand, 0.1), 0.1)
    assert pool.committed == 0
    assert pool.grants() == {"a": 0}
