"""Load generator: sends a mix of requests and prints a JSON summary.

DRAGONFLYSHIFT_TEST_CA holds the certificate of the authority, in PEM.
"""

import argparse
import asyncio
import json
import os

import cattrs

from tests.lib.h3 import FlowError, H3Client
from tests.lib.jobs import Options
from tests.lib.load import Load, Target
from tests.lib.stream import Response, Stream
from tests.lib.summary import Summary

__all__ = ('FlowError', 'H3Client', 'Response', 'Stream', 'Summary')
CA_VARIABLE = 'DRAGONFLYSHIFT_TEST_CA'


def report(summary: Summary, *, ids: bool) -> str:
    """Format a summary as JSON, with request ids only if ``ids`` is set."""
    plain = cattrs.unstructure(summary)
    plain['latencies'] = summary.quantiles()
    if not ids:
        plain.pop('confirmed_ids')
        plain.pop('refused_ids')
        plain.pop('refusals')
    return json.dumps(plain)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--target',
        action='append',
        type=Target.parse,
        required=True,
        help='address,service,clients,kind=weight,...',
    )
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--local-host', default='127.0.0.1')
    parser.add_argument('--board-seconds', type=float, default=3)
    parser.add_argument('--export-bytes', type=int, default=300_000)
    parser.add_argument('--ids', action='store_true')
    parser.add_argument(
        '--json',
        action='store_true',
        help='print the summary as one JSON line (the only form)',
    )
    args = parser.parse_args()
    options = Options(
        ca=os.environ[CA_VARIABLE],
        seed=args.seed,
        local_host=args.local_host,
        board_seconds=args.board_seconds,
        export_bytes=args.export_bytes,
    )
    load = Load(args.target, options)
    summary = asyncio.run(load.run(args.seconds))
    print(report(summary, ids=args.ids), flush=True)


if __name__ == '__main__':
    main()
