"""The command ``evacuate``."""

from dragonflyshift._internal.cli.evacuation_command import (
    EVACUATION_HELP,
    EvacuationCommand,
)


class EvacuateCommand(EvacuationCommand):
    """Declares that a data centre takes no new flow."""

    name = 'evacuate'
    description = 'Declare that a data centre takes no new flow.'
    help = (
        'Sets evacuated = true for the data centre NAME in the inventory, '
        f'raises the revision and lists the effects. {EVACUATION_HELP}'
    )
    evacuated = True
