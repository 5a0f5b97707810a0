"""A cluster with plain forwarders in the place of the nodes."""

from bench.client import HttpClient
from bench.cluster import Cluster, free_address, wait_for

READY_TIMEOUT_S = 10.0


class ForwardingCluster(Cluster):
    """The upstreams of a deployment behind one forwarder for each service.

    :param services: list of :class:`~bench.cluster.ServiceSpec`.
    """

    def __init__(self, services):
        super().__init__(services, controls=0)
        self._addresses = {spec.name: free_address() for spec in services}
        self.hosts = [
            host._replace(call_address=self._addresses[host.service])
            for host in self.hosts
        ]

    async def wait_until_ready(self):
        """Waits until every upstream and forwarder takes calls."""
        await wait_for(self._answers, READY_TIMEOUT_S)

    async def _answers(self):
        client = HttpClient()
        for address in self._addresses.values():
            path = "/.well-known/figpick/announce"
            answer = await client.request(address, "GET", path, timeout_s=1)
            if answer.status != 200:
                return False
        for host in self.hosts:
            address = host.upstream_address
            answer = await client.request(address, "GET", "/standin/stats", timeout_s=1)
            if answer.status != 200:
                return False
        client.close()
        return True

    async def _put_documents(self):
        """Does nothing, since forwarders know no documents."""

    def _start_all(self):
        upstreams = {}
        for host in self.hosts:
            upstreams.setdefault(host.service, []).append(host.upstream_address)
        for service, address in self._addresses.items():
            config = {"address": address, "upstreams": upstreams}
            self._add_command(f"forwarder-{service}", "bench.forwarder", [], config)
        super()._start_all()

    def _add_host(self, host):
        super()._add_host(host)
        del self._commands[host.name]
