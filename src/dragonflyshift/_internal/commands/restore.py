"""The command ``restore``."""

from dragonflyshift._internal.cli.evacuation_command import (
    EVACUATION_HELP,
    EvacuationCommand,
)


class RestoreCommand(EvacuationCommand):
    """Declares that an evacuated data centre takes new flows again."""

    name = 'restore'
    description = 'Declare that an evacuated data centre takes new flows.'
    help = (
        'Sets evacuated = false for the data centre NAME in the inventory, '
        f'raises the revision and lists the effects. {EVACUATION_HELP}'
    )
    evacuated = False
