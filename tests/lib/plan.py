"""The plan of a cluster and the programs that implement it."""

from attrs import frozen

from dragonflyshift._internal.models import Address, Endpoint
from tests.lib.certificates import Certificates
from tests.lib.declarations import ServicePlan
from tests.lib.network import Network
from tests.lib.processes import Program

DAEMON = 'dragonflyshift.daemon'
DAEMON_PORT = 7000
BACKEND_PORT = 8080
CONTROL_PORT = 9000
FIRST_SERVICE_PORT = 8441
# Numbers of hosts in the network of the cluster.
FABRIC_HOST = 1
PLATFORM_HOST = 2
CLIENT_HOST = 3
FIRST_BALANCER_HOST = 10
FIRST_ENDPOINT_HOST = 60
FLEET_KEYS = f'1:{"5a" * 32}'
LISTS = 'reading-lists'
PARTS = 'parts-and-tickets'
SMALL_SERVICES = (
    ServicePlan(LISTS, 'association', endpoints=2, slots=3),
    ServicePlan(PARTS, 'tesfa', endpoints=2, slots=4),
)


@frozen
class ClusterPlan:
    """The services and balancers of a cluster and the programs' flags.

    ``lag`` is the delay of the platform's instance list in seconds;
    ``backend_flags`` and ``daemon_flags`` are passed to every such process.
    The balancers are placed in ``balancer_data_centers`` in turn, by default
    all in the first data centre of the first service.
    """

    services: tuple[ServicePlan, ...] = SMALL_SERVICES
    balancers: int = 3
    seed: int = 1
    lag: float = 2.0
    fleet_keys: str = FLEET_KEYS
    backend_flags: tuple[str, ...] = ()
    daemon_flags: tuple[str, ...] = ('--log-level=info',)
    balancer_data_centers: tuple[str, ...] = ()


@frozen
class Programs:
    """Builds the programs of one cluster, with their addresses and flags."""

    plan: ClusterPlan
    network: Network
    certificates: Certificates

    def service_address(self, number: int) -> Address:
        """Return the address of service ``number``, counted from 0."""
        return self.network.address(FABRIC_HOST, FIRST_SERVICE_PORT + number)

    def endpoint(self, plan: ServicePlan, number: int, host: int) -> Endpoint:
        """Return the endpoint ``number`` of a service, counted from 0."""
        data_centers = plan.data_centers
        return Endpoint(
            name=f'{plan.name}-{number + 1}',
            address=self.network.address(host, DAEMON_PORT),
            data_center=data_centers[number % len(data_centers)],
            region=plan.region,
            slots=plan.slots,
        )

    def platform(self) -> Program:
        """Build the platform, which serves the configuration."""
        listen = self.network.address(PLATFORM_HOST, BACKEND_PORT)
        flags = (f'--listen={listen}', f'--lag={self.plan.lag}')
        return Program('platform', 'tests.lib.platform', flags)

    def fabric(self) -> Program:
        """Build the fabric, which listens on all service addresses."""
        control = self.network.address(FABRIC_HOST, CONTROL_PORT)
        addresses = map(self.service_address, range(len(self.plan.services)))
        services = [f'--service={address}' for address in addresses]
        flags = (f'--control={control}', f'--seed={self.plan.seed}')
        return Program('fabric', 'tests.lib.fabric', (*flags, *services))

    def balancer_host(self, number: int) -> str:
        """Return the IP address of balancer ``number``."""
        return self.network.host(FIRST_BALANCER_HOST + number)

    def balancer_data_center(self, number: int) -> str:
        """Return the data centre of balancer ``number``."""
        first = self.plan.services[0].data_centers[0]
        data_centers = self.plan.balancer_data_centers or (first,)
        return data_centers[number % len(data_centers)]

    def balancer(self, number: int) -> Program:
        """Build balancer ``number``, which has its own IP address."""
        host = self.balancer_host(number)
        place = self.plan.services[0]
        return self._daemon(
            f'balancer-{number}',
            '--role=balancer',
            f'--listen={host}:{DAEMON_PORT}',
            f'--entry-ip={host}',
            f'--data-center={self.balancer_data_center(number)}',
            f'--region={place.region}',
        )

    def sidecar(self, service: str, endpoint: Endpoint) -> Program:
        """Build the sidecar of an endpoint."""
        return self._daemon(
            f'sidecar-{endpoint.name}',
            '--role=sidecar',
            f'--listen={endpoint.address}',
            f'--service={service}',
            f'--instance={endpoint.name}',
            f'--backend={backend_address(endpoint)}',
            f'--data-center={endpoint.data_center}',
            f'--region={endpoint.region}',
            env={
                'DRAGONFLYSHIFT_CERTIFICATE': self.certificates.certificate,
                'DRAGONFLYSHIFT_PRIVATE_KEY': self.certificates.private_key,
            },
        )

    def backend(self, service: str, endpoint: Endpoint) -> Program:
        """Build the backend server of an endpoint."""
        flags = (
            f'--listen={backend_address(endpoint)}',
            f'--service={service}',
            f'--instance={endpoint.name}',
            f'--slots={endpoint.slots}',
            *self.plan.backend_flags,
        )
        name = f'backend-{endpoint.name}'
        return Program(name, 'tests.lib.backend', flags)

    def _daemon(
        self,
        name: str,
        *flags: str,
        env: dict[str, str] | None = None,
    ) -> Program:
        platform = self.network.address(PLATFORM_HOST, BACKEND_PORT)
        common = (f'--platform=http://{platform}', *self.plan.daemon_flags)
        keys = {'DRAGONFLYSHIFT_FLEET_KEYS': self.plan.fleet_keys}
        secrets = {**keys, **(env or {})}
        return Program(name, DAEMON, (*flags, *common), secrets)


def backend_address(endpoint: Endpoint) -> Address:
    """Return the address of an endpoint's backend server."""
    return Address(endpoint.address.host, BACKEND_PORT)
