"""A complete system on loopback, each component in its own process."""

import asyncio
from collections import Counter
from typing import Any, Self

from dragonflyshift._internal.models import Address, Endpoint
from tests.lib import certificates
from tests.lib.control import ControlClient
from tests.lib.declarations import ServiceDeclarations, ServicePlan
from tests.lib.h3 import H3Client
from tests.lib.instance import Balancer, Instance
from tests.lib.jobs import Options
from tests.lib.journal import JournalEntry
from tests.lib.load import Target
from tests.lib.network import Network
from tests.lib.plan import (
    BACKEND_PORT,
    CLIENT_HOST,
    CONTROL_PORT,
    FABRIC_HOST,
    FIRST_ENDPOINT_HOST,
    LISTS,
    PARTS,
    PLATFORM_HOST,
    SMALL_SERVICES,
    ClusterPlan,
    Programs,
    backend_address,
)
from tests.lib.processes import Program

__all__ = (
    'LISTS',
    'PARTS',
    'SMALL_SERVICES',
    'Balancer',
    'Cluster',
    'ClusterPlan',
    'Instance',
    'ServicePlan',
)
MAX_CONCURRENT_STARTS = 8
DRAIN_SECONDS = 30.0


class Cluster:
    """The processes of a fabric, a platform, balancers and instances.

    An instance consists of a sidecar and a backend server.

    Example:
        >>> async def read() -> bytes:
        ...     async with Cluster() as cluster:
        ...         conn = await cluster.connect('reading-lists')
        ...         return (await conn.request('GET', '/lists/1')).body
    """

    def __init__(self, plan: ClusterPlan | None = None) -> None:
        self.plan = plan or ClusterPlan()
        self.network = Network.claim()
        self.certificates = certificates.issue()
        self.programs = Programs(self.plan, self.network, self.certificates)
        self.balancers: list[Balancer] = []
        self.instances: list[Instance] = []
        self.platform_control = self._control(PLATFORM_HOST, BACKEND_PORT)
        self.fabric_control = self._control(FABRIC_HOST, CONTROL_PORT)
        self.register = ServiceDeclarations(self.platform_control)
        self.platform = self.programs.platform()
        self.fabric = self.programs.fabric()
        self._start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        self._connections: list[H3Client] = []
        self._start_failed = False
        self._balancers_built = 0
        self._build_services()

    async def __aenter__(self) -> Self:
        """Start all processes; end those started if one of them fails."""
        try:
            await self._start()
        except BaseException:
            await self.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all processes and release the network."""
        await self.aclose()

    def address(self, service: str) -> Address:
        """Return the address of a service."""
        return self.register.documents[service].addresses[0]

    def target(
        self,
        service: str,
        mix: dict[str, float],
        clients: int = 4,
    ) -> Target:
        """Return a load target for a service."""
        return Target(self.address(service), service, mix, clients)

    def options(self, **changes: Any) -> Options:
        """Return load options with the cluster's CA certificate and seed."""
        return Options(
            ca=self.certificates.ca,
            local_host=self.network.host(CLIENT_HOST),
            **{'seed': self.plan.seed, **changes},
        )

    async def connect(self, service: str, **options: Any) -> H3Client:
        """Open a flow to a service; ``aclose`` closes it."""
        conn = await H3Client.connect(
            self.address(service),
            self.certificates.ca,
            certificates.SERVER_NAME,
            local_host=self.network.host(CLIENT_HOST),
            **options,
        )
        self._connections.append(conn)
        return conn

    def instances_of(self, service: str) -> list[Instance]:
        """Return the instances of a service."""
        return [each for each in self.instances if each.service == service]

    def find_instance(self, name: str) -> Instance:
        """Return the instance with this name."""
        return next(each for each in self.instances if each.name == name)

    async def journal(self) -> list[JournalEntry]:
        """Return the journal entries of all backend servers."""
        journals = [await each.journal() for each in self.instances]
        return [entry for journal in journals for entry in journal]

    async def count_datagrams(self, client: str = '') -> Counter[str]:
        """Return the number of datagrams that each balancer was sent.

        Counts the datagrams of ``client`` (host:port), by default of all
        clients.
        """
        counts = await self.fabric_control.get('/control/counts')
        if client:
            return Counter(counts['by_client'].get(client, {}))
        return Counter(counts['to_balancer'])

    async def set_faults(self, **faults: Any) -> None:
        """Set the fabric's faults; faults that are not named are cleared."""
        await self.fabric_control.put('/control/faults', faults)

    async def set_platform_mode(self, mode: str) -> None:
        """Set how the platform replies to reads (``up``, ``down``, ...)."""
        await self.platform_control.put('/control/mode', mode)

    async def add_balancer(self) -> Balancer:
        """Start a new balancer and add it to the fabric."""
        balancer = self._build_balancer()
        await balancer.program.start()
        self.balancers.append(balancer)
        await self.update_fabric()
        return balancer

    async def remove_balancer(self, balancer: Balancer) -> int:
        """Remove a balancer from the fabric and stop it.

        Returns its exit status.
        """
        self.balancers.remove(balancer)
        await self.update_fabric()
        return await balancer.program.stop()

    async def kill_balancer(self, balancer: Balancer) -> None:
        """Kill a balancer.

        The fabric sends datagrams to it until ``update_fabric`` is called.
        """
        self.balancers.remove(balancer)
        await balancer.program.kill()

    async def update_fabric(self) -> None:
        """Set the fabric's balancers to those that the cluster lists."""
        hosts = [each.host for each in self.balancers]
        await self.fabric_control.put('/control/balancers', hosts)

    async def stop_instance(self, instance: Instance) -> int:
        """Drain a sidecar, then stop its backend server.

        Returns the exit status of the sidecar. The journal of the backend
        server is saved first.
        """
        status = await instance.sidecar.stop(DRAIN_SECONDS)
        instance.saved_journal = await instance.journal()
        await instance.backend.stop()
        return status

    async def aclose(self) -> None:
        """Close all connections, kill all processes, release the network."""
        for conn in self._connections:
            await conn.aclose()
        programs = (
            self.fabric,
            *(each.program for each in self.balancers),
            *(each.sidecar for each in self.instances),
            *(each.backend for each in self.instances),
            self.platform,
        )
        await asyncio.gather(
            *(_kill_if_running(program) for program in programs)
        )
        await self.platform_control.aclose()
        await self.fabric_control.aclose()
        for instance in self.instances:
            await instance.control.aclose()
        self.network.release()

    async def _start(self) -> None:
        await self.platform.start()
        await self.register.publish()
        for _ in range(self.plan.balancers):
            self.balancers.append(self._build_balancer())
        backends = [each.backend for each in self.instances]
        sidecars = [each.sidecar for each in self.instances]
        balancers = [each.program for each in self.balancers]
        await self._start_programs(*backends, *balancers)
        await self._start_programs(*sidecars, self.fabric)
        await self.update_fabric()

    async def _start_programs(self, *programs: Program) -> None:
        """Start programs concurrently; the first failure kills all of them."""
        tasks = [
            asyncio.create_task(self._start_one(program))
            for program in programs
        ]
        done, pending = await asyncio.wait(
            tasks,
            return_when=asyncio.FIRST_EXCEPTION,
        )
        if pending:
            self._start_failed = True
            await asyncio.gather(
                *(_kill_if_running(program) for program in programs)
            )
            await asyncio.wait(pending)
        for task in done:
            task.result()

    async def _start_one(self, program: Program) -> None:
        async with self._start_limit:
            if not self._start_failed:
                await program.start()

    def _control(self, host: int, port: int) -> ControlClient:
        return ControlClient(str(self.network.address(host, port)))

    def _build_services(self) -> None:
        """Build all instances and add their services to the register."""
        for offset, plan in enumerate(self.plan.services):
            endpoints = [
                self._build_instance(plan, number)
                for number in range(plan.endpoints)
            ]
            address = self.programs.service_address(offset)
            self.register.add(plan, address, tuple(endpoints))

    def _build_balancer(self) -> Balancer:
        program = self.programs.balancer(self._balancers_built)
        host = self.programs.balancer_host(self._balancers_built)
        data_center = self.programs.balancer_data_center(self._balancers_built)
        self._balancers_built += 1
        return Balancer(host, program, data_center)

    def _build_instance(self, plan: ServicePlan, number: int) -> Endpoint:
        host = FIRST_ENDPOINT_HOST + len(self.instances)
        endpoint = self.programs.endpoint(plan, number, host)
        instance = Instance(
            plan.name,
            endpoint,
            self.programs.sidecar(plan.name, endpoint),
            self.programs.backend(plan.name, endpoint),
            ControlClient(str(backend_address(endpoint))),
        )
        self.instances.append(instance)
        return endpoint


async def _kill_if_running(program: Program) -> None:
    if program.running:
        await program.kill()
