"""Measures unit costs of state and messages at the target size.

Components that do no I/O are measured at full size in one process. Messages between
processes are measured over loopback, with client and server in one process.
"""

import asyncio
import os
import random
import time
import tracemalloc
import uuid

import msgspec

from bench.cluster import KEY, Cluster, ServiceSpec, free_address
from bench.rows import Row
from figpick.base._clock import Clock
from figpick.calls._plans import ClockReading
from figpick.claims._claim_holder import GRANTED, Claim, Holder
from figpick.claims._rosters import POSITION_COUNT, position_of
from figpick.membership._events import EventStore
from figpick.membership._gossip import Gossip
from figpick.membership._members import Member, Members
from figpick.membership._versions import ServiceVersion, ServiceVersions
from figpick.messaging._auth import Authenticator
from figpick.messaging._transport import PeerClient, PeerServer
from figpick.permits._admission_levels import Report
from figpick.permits._division import Demand
from figpick.permits._owner import UpstreamOwner
from figpick.permits._permits import PermitPool, Usage
from figpick.registry._registry import Registry

TARGET_NODES = 1600
TARGET_SERVICES = 40
CALLING_NODES = (60, 400)
CHANGES = 2000
MESSAGES = 1500
CLAIMS = 10_000
CALLS = 2000
ROUTE = {"method": "GET", "path": "/*", "importance": 5, "idempotent": True}
GOSSIP_ROUNDS = 300


def run(seeds):
    """Measures each unit cost once.

    :param seeds: not used; random choices have a fixed seed.
    """
    yield from _member_rows()
    yield from _gossip_rows()
    yield from _permit_rows()
    yield from _exchange_rows()
    yield from _registry_rows()
    yield from _claim_rows()
    yield from asyncio.run(_message_rows())
    yield from asyncio.run(_call_rows())


def _row(case, value, unit):
    return Row("costs", case, 1, None, round(value, 4), None, unit)


def _member(number):
    service = f"service-{number % TARGET_SERVICES}"
    return Member(
        name=f"host-{number}",
        incarnation=1_790_000_000_000 + number,
        version=3,
        state="ready",
        role="node",
        service=service,
        peer_address=f"10.0.{number // 250}.{number % 250}:9000",
        call_address=f"10.0.{number // 250}.{number % 250}:8000",
        upstream_address=f"10.0.{number // 250}.{number % 250}:7000",
        data_center=f"dc-{number % 6}",
        region=f"region-{number % 3}",
        slots=100,
        connections=600,
    )


def _view(nodes):
    members = Members(_member(0))
    for number in range(1, nodes):
        members.merge(_member(number))
    service_versions = ServiceVersions()
    for number in range(TARGET_SERVICES):
        service_versions.merge(f"service-{number}", ServiceVersion(number + 1, 1))
    return members, Gossip(
        members, service_versions, EventStore(), [], random.Random(1)
    )


def _member_rows():
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    view = _view(TARGET_NODES)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(view[0]) == TARGET_NODES
    yield _row("member view of 1,600 nodes, memory", size / 1e6, "MB")
    record = msgspec.json.encode(_member(7))
    yield _row("member record, encoded", len(record), "B")


def _gossip_rows():
    for nodes in (100, TARGET_NODES):
        gossip = _view(nodes)[1]
        greeting = msgspec.json.encode(gossip.greeting())
        started_at = time.process_time()
        for _ in range(GOSSIP_ROUNDS):
            gossip.choose_peer()
            message = msgspec.json.decode(msgspec.json.encode(gossip.greeting()))
            gossip.receive(message, 0.0)
            msgspec.json.encode(gossip.reply(message))
        spent_s = time.process_time() - started_at
        case = f"gossip round at {nodes} nodes without differences"
        yield _row(f"{case}, processor time", spent_s / GOSSIP_ROUNDS * 1e3, "ms")
        yield _row(f"{case}, greeting", len(greeting), "B")


def _permit_rows():
    for calling_nodes in CALLING_NODES:
        pool = PermitPool(200, 1, 0.0)
        demand = Demand((0, 1, 0, 0, 1, 1, 0, 0, 0, 1), 1)
        started_at = time.process_time()
        exchanges = 0
        for number in range(1, 4):
            for caller in range(calling_nodes):
                usage = Usage(number, 1, 0, 0, 1, demand)
                pool.renew(f"host-{caller}", usage, number * 2.0)
                exchanges += 1
        spent_s = time.process_time() - started_at
        case = f"permit exchange with {calling_nodes} calling nodes, processor time"
        yield _row(case, spent_s / exchanges * 1e3, "ms")


def _exchange_rows():
    owner = UpstreamOwner(1, 0.0)
    owner.set_capacity(100, 600)
    usage = Usage(1, 1, 0, 0, 1, Demand((0, 1, 0, 0, 1, 1, 0, 0, 0, 1), 2))
    offered = ((4, 5.0), (16, 30.0), (20, 12.0), (36, 2.0))
    routes = (("0a1b2c3d", 30), ("4e5f6071", 12))
    report = Report(2.0, offered, 49, 1.25, 0, 0, 0, 0.0, 3, 0.1, routes)
    message = {"caller": "host-1234", "usage": usage, "report": report}
    request = msgspec.json.encode(message)
    reply = msgspec.json.encode(owner.handle_renewal(msgspec.json.decode(request), 2.0))
    yield _row("permit exchange, both bodies", len(request) + len(reply), "B")


def _registry_rows():
    rng = random.Random(1)
    registry = Registry()
    versions = {}
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    started_at = time.process_time()
    for index in range(1, CHANGES + 1):
        command = _put_command(index, versions, rng)
        registry.apply(command, index)
    spent_s = time.process_time() - started_at
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    yield _row("registry, processor time a change", spent_s / CHANGES * 1e3, "ms")
    yield _row("registry, memory a change", size / CHANGES, "B")
    yield _row(f"snapshot after {CHANGES} changes", len(registry.encode()) / 1e6, "MB")


def _claim_rows():
    positions = [f"host-{number % 3}" for number in range(POSITION_COUNT)]
    roster = {"service": "parts", "epoch": 1, "positions": positions, "since": 10.0}
    now = ClockReading(100.0, 100.0)
    holder = Holder("host-0", ClockReading(0.0, 0.0))
    holder.adopt(roster, now)
    holder.confirm(1, 100.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    granted = 0
    for number in range(CLAIMS):
        key_hash = f"{number * 0x9E3779B1 % (1 << 32):08x}{number:08x}"
        position = position_of(key_hash, POSITION_COUNT)
        claim = Claim("parts", 1, position, key_hash, None, "caller", 5.0)
        granted += holder.claim(claim, now).result == GRANTED
        holder.finish(claim, None, now)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert granted == CLAIMS
    yield _row("claim record, memory", size / CLAIMS, "B")


async def _call_rows():
    document = {"service": "parts", "routes": [ROUTE]}
    spec = ServiceSpec(document, [{"prefix": "/", "service_ms": 1}], 3, 100)
    async with Cluster([spec]) as cluster:
        address, pid = cluster.call_addresses("parts")[0], cluster.pid("parts-1")
        for count in (CALLS // 4, CALLS):
            before = _cpu_s(pid)
            for _ in range(count):
                response = await cluster.client.request(
                    address, "GET", "/a", {"Host": "parts"}
                )
                assert response.status == 200
        spent_ms = (_cpu_s(pid) - before) / CALLS * 1e3
    return [_row("call through a node, processor time", spent_ms, "ms")]


def _cpu_s(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _put_command(index, versions, rng):
    service = f"service-{rng.randrange(TARGET_SERVICES)}"
    routes = [
        {"method": "GET", "path": f"/r{n}", "importance": 3, "idempotent": True}
        for n in range(10)
    ]
    command = {
        "command": "put",
        "document": {"service": service, "routes": routes},
        "base": versions.get(service, 0),
        "change": str(uuid.UUID(int=rng.getrandbits(128))),
        "author": "operator",
        "time": 1_790_000_000.0 + index,
    }
    versions[service] = index
    return command


async def _message_rows():
    clock = Clock()
    address = free_address()
    server = PeerServer(address, Authenticator(KEY), clock)

    async def echo(message):
        return message

    server.set_handler("echo", echo)
    server.start()
    client = PeerClient(Authenticator(KEY), clock)
    rows = []
    for size in (200, 2000):
        payload = {"text": "x" * size}
        await client.send(address, "echo", payload)
        started_at = time.process_time()
        for _ in range(MESSAGES):
            await client.send(address, "echo", payload)
        spent_s = time.process_time() - started_at
        case = f"message of {size} B and its answer, both ends, processor time"
        rows.append(_row(case, spent_s / MESSAGES * 1e3, "ms"))
    client.close()
    await server.stop()
    return rows
