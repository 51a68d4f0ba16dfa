"""The whole path as separate processes on loopback."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Iterable
from typing import Any, Self

import cattrs
from attrs import Factory, define, frozen

from dragonflyshift._internal.models import Address, Endpoint
from tests.lib import certificates
from tests.lib.h3 import H3Client
from tests.lib.http import ControlClient
from tests.lib.jobs import Options
from tests.lib.journal import JournalEntry
from tests.lib.load import Target
from tests.lib.network import Network
from tests.lib.processes import Program
from tests.lib.register import Register, ServicePlan

DAEMON = 'dragonflyshift.daemon'
DAEMON_PORT = 7000
BACKEND_PORT = 8080
CONTROL_PORT = 9000
FIRST_SERVICE_PORT = 8441
FABRIC_HOST = 1
PLATFORM_HOST = 2
CLIENT_HOST = 3
FIRST_BALANCER_HOST = 10
FIRST_ENDPOINT_HOST = 60
STARTS_AT_A_TIME = 8
FLEET_KEYS = f'1:{"5a" * 32}'
LISTS = 'reading-lists'
PARTS = 'parts-and-tickets'
SMALL_SERVICES = (
    ServicePlan(LISTS, 'association', endpoints=2, slots=3),
    ServicePlan(PARTS, 'tesfa', endpoints=2, slots=4),
)


@frozen
class ClusterPlan:
    """What a cluster consists of.

    ``lag`` is the delay of the platform's instance list in seconds;
    ``backend_flags`` and ``daemon_flags`` go to every such process.
    """

    services: tuple[ServicePlan, ...] = SMALL_SERVICES
    balancers: int = 3
    seed: int = 1
    lag: float = 2.0
    fleet_keys: str = FLEET_KEYS
    backend_flags: tuple[str, ...] = ()
    daemon_flags: tuple[str, ...] = ('--log-level=info',)


@define(eq=False)
class Balancer:
    """One balancer and the IP on which the fabric reaches it."""

    host: str
    program: Program


@define(eq=False)
class Instance:
    """One endpoint: a backend server and the sidecar beside it."""

    service: str
    name: str
    declared: Endpoint
    sidecar: Program
    backend: Program
    control: ControlClient
    retired: list[JournalEntry] = Factory(list)

    async def set_behavior(self, **changes: Any) -> None:
        """Change how the backend server behaves."""
        await self.control.put('/control/behavior', changes)

    async def journal(self) -> list[JournalEntry]:
        """Return what the backend server ran, in all of its lives."""
        if self.backend.running:
            plain = await self.control.get('/control/journal')
            return [*self.retired, *_structure(plain)]
        return [*self.retired, *self._echoed()]

    def _echoed(self) -> list[JournalEntry]:
        events = self.backend.child.events()
        return _structure(each['entry'] for each in events if 'entry' in each)


class Cluster:
    """Fabric, platform, balancers, sidecars and backend servers.

    Example:
        >>> async def read() -> bytes:
        ...     async with Cluster() as cluster:
        ...         conn = await cluster.connect('reading-lists')
        ...         return (await conn.request('GET', '/lists/1')).body
    """

    def __init__(self, plan: ClusterPlan | None = None) -> None:
        self.plan = plan or ClusterPlan()
        self.network = Network.claim()
        self.issued = certificates.issue()
        self.balancers: list[Balancer] = []
        self.instances: list[Instance] = []
        self.platform_control = self._control(PLATFORM_HOST, BACKEND_PORT)
        self.fabric_control = self._control(FABRIC_HOST, CONTROL_PORT)
        self.register = Register(self.platform_control)
        self.platform = self._build_platform()
        self.fabric = self._build_fabric()
        self._limit = asyncio.Semaphore(STARTS_AT_A_TIME)
        self._balancers_built = 0
        self._declare()

    async def __aenter__(self) -> Self:
        """Start everything; nothing stays behind if a part fails."""
        try:
            await self._start()
        except BaseException:
            await self.aclose()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all processes."""
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
        """Return a target for load on a service."""
        return Target(self.address(service), service, mix, clients)

    def options(self, **changes: Any) -> Options:
        """Return options for load, with the cluster's certificate."""
        return Options(
            ca=self.issued.ca,
            local_host=self.network.host(CLIENT_HOST),
            **{'seed': self.plan.seed, **changes},
        )

    async def connect(self, service: str, **options: Any) -> H3Client:
        """Open a flow to a service through the fabric."""
        return await H3Client.connect(
            self.address(service),
            self.issued.ca,
            certificates.SERVER_NAME,
            local_host=self.network.host(CLIENT_HOST),
            **options,
        )

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service."""
        return [each for each in self.instances if each.service == service]

    def find(self, name: str) -> Instance:
        """Return an instance by name."""
        return next(each for each in self.instances if each.name == name)

    async def journal(self) -> list[JournalEntry]:
        """Return what all backend servers ran."""
        parts = [await each.journal() for each in self.instances]
        return [entry for part in parts for entry in part]

    async def spread(self, client: str = '') -> Counter[str]:
        """Return datagrams to each balancer, of one client or of all."""
        counts = await self.fabric_control.get('/control/counts')
        if client:
            return Counter(counts['by_client'].get(client, {}))
        return Counter(counts['to_balancer'])

    async def set_faults(self, **faults: Any) -> None:
        """Set what the fabric does to datagrams; all others are cleared."""
        await self.fabric_control.put('/control/faults', faults)

    async def set_mode(self, mode: str) -> None:
        """Set how the platform treats its readers."""
        await self.platform_control.put('/control/mode', mode)

    async def add_balancer(self) -> Balancer:
        """Start a fresh balancer and let the fabric use it."""
        balancer = self._build_balancer()
        await self._start_program(balancer.program)
        await self.update_fabric()
        return balancer

    async def remove_balancer(self, balancer: Balancer) -> int:
        """Stop a balancer as planned and return its exit status."""
        self.balancers.remove(balancer)
        await self.update_fabric()
        return await balancer.program.stop()

    async def kill_balancer(self, balancer: Balancer) -> None:
        """Kill a balancer; the fabric goes on sending to it until told."""
        await balancer.program.kill()

    async def update_fabric(self) -> None:
        """Tell the fabric which balancers there are."""
        hosts = [each.host for each in self.balancers]
        await self.fabric_control.put('/control/balancers', hosts)

    async def stop_instance(self, instance: Instance) -> int:
        """Stop a sidecar as planned, then its backend server."""
        status = await instance.sidecar.stop(timeout=30)
        instance.retired = await instance.journal()
        await instance.backend.stop()
        return status

    async def aclose(self) -> None:
        """End all processes, whatever state they are in."""
        programs = [
            self.fabric,
            *(each.program for each in self.balancers),
            *(each.sidecar for each in self.instances),
            *(each.backend for each in self.instances),
            self.platform,
        ]
        for program in programs:
            if program.running:
                program.resume()
        await asyncio.gather(*(_end(program) for program in programs))
        for control in (self.platform_control, self.fabric_control):
            await control.aclose()
        for instance in self.instances:
            await instance.control.aclose()
        self.network.release()

    async def _start(self) -> None:
        await self.platform.start()
        await self.register.publish()
        balancers = (self._build_balancer() for _ in range(self.plan.balancers))
        await _gather(
            self._start_program(program)
            for program in (
                *(each.backend for each in self.instances),
                *(each.program for each in balancers),
            )
        )
        await _gather(
            self._start_program(each.sidecar) for each in self.instances
        )
        await self.fabric.start()
        await self.update_fabric()

    async def _start_program(self, program: Program) -> None:
        async with self._limit:
            await program.start()

    def _control(self, host: int, port: int) -> ControlClient:
        return ControlClient(str(self.network.address(host, port)))

    def _declare(self) -> None:
        """Build all instances and declare them in the register."""
        for offset, plan in enumerate(self.plan.services):
            port = FIRST_SERVICE_PORT + offset
            built = [
                self._build_instance(plan, number)
                for number in range(plan.endpoints)
            ]
            self.register.add(
                plan,
                self.network.address(FABRIC_HOST, port),
                tuple(each.declared for each in built),
            )

    def _build_platform(self) -> Program:
        listen = self.network.address(PLATFORM_HOST, BACKEND_PORT)
        flags = (f'--listen={listen}', f'--lag={self.plan.lag}')
        return Program('platform', 'tests.lib.platform', flags)

    def _build_fabric(self) -> Program:
        control = self.network.address(FABRIC_HOST, CONTROL_PORT)
        ports = range(len(self.plan.services))
        services = [
            f'--service={self.network.address(FABRIC_HOST, port)}'
            for port in map(FIRST_SERVICE_PORT.__add__, ports)
        ]
        flags = (f'--control={control}', f'--seed={self.plan.seed}')
        return Program('fabric', 'tests.lib.fabric', (*flags, *services))

    def _build_balancer(self) -> Balancer:
        number = self._balancers_built
        self._balancers_built += 1
        plan = self.plan.services[0]
        host = self.network.host(FIRST_BALANCER_HOST + number)
        flags = (
            '--role=balancer',
            f'--listen={host}:{DAEMON_PORT}',
            f'--entry-ip={host}',
        )
        program = self._build_daemon(
            f'balancer-{number}',
            flags,
            plan.data_centers[0],
            plan.region,
        )
        balancer = Balancer(host, program)
        self.balancers.append(balancer)
        return balancer

    def _build_instance(self, plan: ServicePlan, number: int) -> Instance:
        host = FIRST_ENDPOINT_HOST + len(self.instances)
        name = f'{plan.name}-{number + 1}'
        places = plan.data_centers
        declared = Endpoint(
            name=name,
            address=self.network.address(host, DAEMON_PORT),
            data_center=places[number % len(places)],
            region=plan.region,
            slots=plan.slots,
        )
        backend_address = self.network.address(host, BACKEND_PORT)
        flags = (
            '--role=sidecar',
            f'--listen={declared.address}',
            f'--service={plan.name}',
            f'--instance={name}',
            f'--backend={backend_address}',
        )
        sidecar = self._build_daemon(
            f'sidecar-{name}',
            flags,
            declared.data_center,
            declared.region,
        )
        instance = Instance(
            plan.name,
            name,
            declared,
            sidecar,
            self._build_backend(plan, name, backend_address),
            ControlClient(str(backend_address)),
        )
        self.instances.append(instance)
        return instance

    def _build_backend(
        self,
        plan: ServicePlan,
        name: str,
        listen: Address,
    ) -> Program:
        flags = (
            f'--listen={listen}',
            f'--service={plan.name}',
            f'--instance={name}',
            f'--slots={plan.slots}',
            *self.plan.backend_flags,
        )
        return Program(f'backend-{name}', 'tests.lib.backend', flags)

    def _build_daemon(
        self,
        name: str,
        flags: Iterable[str],
        data_center: str,
        region: str,
    ) -> Program:
        platform = self.network.address(PLATFORM_HOST, BACKEND_PORT)
        return Program(
            name,
            DAEMON,
            (
                *flags,
                f'--data-center={data_center}',
                f'--region={region}',
                f'--platform=http://{platform}',
                *self.plan.daemon_flags,
            ),
            {
                'DRAGONFLYSHIFT_FLEET_KEYS': self.plan.fleet_keys,
                **self._certificate_settings(flags),
            },
        )

    def _certificate_settings(self, flags: Iterable[str]) -> dict[str, str]:
        if '--role=sidecar' not in flags:
            return {}
        return {
            'DRAGONFLYSHIFT_CERTIFICATE': self.issued.certificate,
            'DRAGONFLYSHIFT_PRIVATE_KEY': self.issued.private_key,
        }


async def _gather(starts: Iterable[Awaitable[None]]) -> None:
    """Wait for all, also for those that go on when one fails."""
    ended = await asyncio.gather(*starts, return_exceptions=True)
    for each in ended:
        if isinstance(each, BaseException):
            raise each


async def _end(program: Program) -> None:
    if program.running:
        await program.child.kill()


def _structure(plain: Iterable[Any]) -> list[JournalEntry]:
    return [cattrs.structure(each, JournalEntry) for each in plain]
