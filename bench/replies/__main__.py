"""Play flows of a scenario and print how many fail, and why.

    python -m bench.replies SCENARIO [--flows 240] [--first-seed 0]
        [--pause 0.6]

Return 0 if no flow fails, else 1.
"""

import argparse
import logging
import sys
from collections import Counter
from collections.abc import Sequence

from bench.replies.balancers import SCENARIOS
from bench.replies.endpoint import PEER
from bench.replies.flow import Keys, replay_flow
from dragonflyshift._internal.kernel.settings import Role, Settings
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.tls import quic_configuration
from dragonflyshift._internal.wire import FleetKeys
from tests.lib import certificates

FLEET_KEY_BYTES = 32


def issue_keys() -> Keys:
    """Return new keys for both ends."""
    issued = certificates.issue()
    settings = Settings(
        role=Role.SIDECAR,
        listen=Address(*PEER),
        data_center='',
        region='',
        platform='',
        fleet_keys=FleetKeys.parse(f'1:{"00" * FLEET_KEY_BYTES}'),
        certificate=issued.certificate,
        private_key=issued.private_key,
    )
    return Keys(
        issued.ca, certificates.SERVER_NAME, quic_configuration(settings)
    )


def main(arguments: Sequence[str]) -> int:
    """Play the flows and print the result."""
    parser = argparse.ArgumentParser(prog='python -m bench.replies')
    parser.add_argument('scenario', choices=sorted(SCENARIOS))
    parser.add_argument('--flows', type=int, default=240)
    parser.add_argument('--first-seed', type=int, default=0)
    parser.add_argument(
        '--pause',
        type=float,
        default=0.6,
        help='the longest pause of an event loop, in seconds',
    )
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    keys = issue_keys()
    failures = {
        seed: replay_flow(
            keys, SCENARIOS[options.scenario], seed, options.pause
        )
        for seed in range(
            options.first_seed, options.first_seed + options.flows
        )
    }
    failures = {seed: reason for seed, reason in failures.items() if reason}
    print(f'{options.scenario}: {len(failures)} of {options.flows} flows fail')
    for reason, count in Counter(failures.values()).items():
        seeds = [seed for seed, each in failures.items() if each == reason]
        print(f'  {reason}: {count}, seeds {seeds[:5]}')
    return int(bool(failures))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
