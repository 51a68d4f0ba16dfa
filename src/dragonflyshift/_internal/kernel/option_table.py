"""The table of all settings of the daemon."""

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
        'role of the daemon: balancer or sidecar',
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
        'secret: one or two keys as NUMBER:HEX[,NUMBER:HEX], of which the '
        'first is used for sending; prefer the environment variable, as '
        'other users of the instance can read flags',
        metavar='KEYS',
        required=True,
    ),
    options.Option(
        'service',
        options.parse_name,
        "service of the sidecar's backend server",
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
        'IP on which the ports of the service addresses are bound; by default '
        'the service addresses themselves are bound',
        metavar='IP',
        role=options.Role.BALANCER,
    ),
    options.Option(
        'certificate',
        parse_pem,
        'certificate chain presented to clients, as PEM text or a file path',
        metavar='PEM',
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'private_key',
        parse_pem,
        "secret: the certificate's private key, as PEM text or a file path",
        metavar='PEM',
        required=True,
        role=options.Role.SIDECAR,
    ),
    options.Option(
        'statsd',
        Address.parse,
        'address of a statsd server for metrics; off by default',
        metavar='IP:PORT',
    ),
    options.Option(
        'traces',
        options.parse_optional_url,
        'URL of an OTLP collector (HTTP) for traces; off by default',
        metavar='URL',
    ),
    options.Option(
        'log_level',
        options.one_of(*LOG_LEVELS),
        f'minimum level of logged events: {", ".join(LOG_LEVELS)}',
        metavar='LEVEL',
    ),
    options.Option(
        'seeds',
        options.parse_addresses,
        'daemons from which a newly started daemon reads the configuration '
        'while the platform is unavailable, separated by commas',
        metavar='IP:PORT,...',
    ),
    options.Option(
        'watch_wait',
        options.seconds_between(1, MAX_WATCH_WAIT_SECONDS),
        'seconds for which one watch request waits for a change',
        metavar='SECONDS',
    ),
    options.Option(
        'drain_timeout',
        options.seconds_between(0, MAX_TIMEOUT_SECONDS),
        'maximum seconds of a graceful shutdown; 0, the default, sets no limit',
        metavar='SECONDS',
    ),
    options.Option(
        'idle_timeout',
        options.seconds_between(1, MAX_TIMEOUT_SECONDS),
        'seconds without packets after which a flow ends',
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
        'plug-in that accepts a new flow or passes it on to another sidecar',
    ),
    options.Option(
        'peer_choice',
        options.parse_name,
        'plug-in that orders the peers to which a request may be sent',
    ),
    options.Option(
        'admission',
        options.parse_name,
        'plug-in that admits requests to the slots of a sidecar',
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
        'Python modules with further plug-ins, separated by commas',
        metavar='MODULE,...',
    ),
)
