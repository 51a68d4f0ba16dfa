"""Every setting of the daemon."""

from dragonflyshift._internal.kernel import options
from dragonflyshift._internal.kernel.certificates import parse_pem
from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.wire.keys import FleetKeys

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
MAX_WATCH_WAIT_SECONDS = 300
MAX_TIMEOUT_SECONDS = 86400


def _role(text: str) -> options.Role:
    return options.Role(options.parse_choice(tuple(options.Role), text))


OPTIONS = (
    options.Option(
        'role',
        _role,
        'what the daemon does: balancer or sidecar',
        metavar='ROLE',
        required=True,
    ),
    options.Option(
        'listen',
        Address.parse,
        "the sidecar's address for datagrams and streams (UDP and TCP), or "
        "the balancer's control address",
        metavar='IP:PORT',
        required=True,
    ),
    options.Option(
        'data_center',
        options.parse_name,
        'data centre in which the daemon runs',
        required=True,
    ),
    options.Option(
        'region',
        options.parse_name,
        'region in which the daemon runs',
        required=True,
    ),
    options.Option(
        'platform',
        options.parse_url,
        "base URL of the platform's configuration service",
        metavar='URL',
        required=True,
    ),
    options.Option(
        'fleet_keys',
        FleetKeys.parse,
        'secret: one or two keys as NUMBER:HEX[,NUMBER:HEX], the one for '
        'sending first; prefer the environment variable, as other users of '
        'the instance can read flags',
        metavar='KEYS',
        required=True,
    ),
    options.Option(
        'service',
        options.parse_name,
        'service whose backend server stands beside the sidecar',
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'instance',
        options.parse_name,
        "name of the sidecar's instance in the inventory",
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'backend',
        Address.parse,
        'address of the backend server (HTTP/1.1)',
        metavar='IP:PORT',
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'entry_ip',
        options.parse_ip,
        'IP on which the ports of the service addresses are bound; without '
        'it the service addresses themselves are',
        metavar='IP',
        role=options.Role.BALANCER,
    ),
    options.Option(
        'certificate',
        parse_pem,
        'certificate chain shown to callers, as PEM text or a file path',
        metavar='PEM',
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'private_key',
        parse_pem,
        "secret: the certificate's key, as PEM text or a file path",
        metavar='PEM',
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'statsd',
        Address.parse,
        'address that takes statsd metrics; off by default',
        metavar='IP:PORT',
    ),
    options.Option(
        'traces',
        options.parse_optional_url,
        'OTLP URL that takes traces over HTTP; off by default',
        metavar='URL',
    ),
    options.Option(
        'log_level',
        options.choice(*LOG_LEVELS),
        f'least level that is logged: {", ".join(LOG_LEVELS)}',
        metavar='LEVEL',
    ),
    options.Option(
        'seeds',
        options.parse_addresses,
        'daemons from which a fresh one may read the configuration while '
        'the platform is down, with commas between them',
        metavar='IP:PORT,...',
    ),
    options.Option(
        'watch_wait',
        options.seconds_between(1, MAX_WATCH_WAIT_SECONDS),
        'seconds that one watch waits for a change',
        metavar='SECONDS',
    ),
    options.Option(
        'drain_timeout',
        options.seconds_between(0, MAX_TIMEOUT_SECONDS),
        'seconds that a graceful shutdown may last; 0, the default, sets none',
        metavar='SECONDS',
    ),
    options.Option(
        'idle_timeout',
        options.seconds_between(1, MAX_TIMEOUT_SECONDS),
        'seconds of silence after which a flow has ended',
        metavar='SECONDS',
    ),
    options.Option(
        'steering',
        options.parse_name,
        'plug-in that steers packets at a balancer',
    ),
    options.Option(
        'candidate_choice',
        options.parse_name,
        'plug-in that ranks the endpoints for a new flow',
    ),
    options.Option(
        'flow_decision',
        options.parse_name,
        'plug-in that keeps a new flow or passes it on',
    ),
    options.Option(
        'peer_choice',
        options.parse_name,
        'plug-in that orders the peers for a request',
    ),
    options.Option(
        'admission',
        options.parse_name,
        'plug-in that admits requests to slots',
    ),
    options.Option(
        'retry_policy',
        options.parse_name,
        'plug-in that limits retries',
    ),
    options.Option(
        'keyed_requests',
        options.parse_name,
        'plug-in that serves requests with an idempotency key',
    ),
    options.Option(
        'plugin_modules',
        options.parse_modules,
        'Python modules to import for their plug-ins, with commas',
        metavar='MODULE,...',
    ),
)
