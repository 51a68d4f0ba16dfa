"""JSON decoding of the platform's list of instances."""

from collections import Counter

from dragonflyshift._internal.config.documents import decode_json
from dragonflyshift._internal.config.faults import raise_faults
from dragonflyshift._internal.models.fault import Fault
from dragonflyshift._internal.models.instances import InstanceList


def decode_instances(raw: bytes) -> InstanceList:
    """Decode an instance list; raise ConfigurationError if it is invalid."""
    found = decode_json(raw, InstanceList)
    names = Counter(instance.name for instance in found.instances)
    raise_faults(
        'instance list',
        (
            Fault('', 'instances', f'{name!r} appears {times} times')
            for name, times in names.items()
            if times > 1
        ),
    )
    return found
