"""Effects of evacuated and restored data centres on flows and requests."""

from collections.abc import Iterator

from dragonflyshift._internal.config.evacuation import serving_endpoints
from dragonflyshift._internal.models.documents import ServiceDocument
from dragonflyshift._internal.models.plan import ChangeKind, PlannedChange


def plan_evacuations(
    before: ServiceDocument,
    after: ServiceDocument,
) -> Iterator[PlannedChange]:
    """Yield a change for each data centre that is evacuated or restored."""
    old = set(before.evacuated)
    new = set(after.evacuated)
    # A restored data centre that has no endpoint left has no effect.
    used = {endpoint.data_center for endpoint in after.endpoints}
    for evacuated in sorted(new - old):
        yield _plan_evacuation(after, evacuated)
    for restored in sorted((old - new) & used):
        yield PlannedChange(
            ChangeKind.DATA_CENTER_RESTORED,
            after.name,
            f'data centre {restored}',
            'its serving endpoints take new flows and requests again',
        )


def _plan_evacuation(
    after: ServiceDocument,
    data_center: str,
) -> PlannedChange:
    staying = len(serving_endpoints(after))
    effect = (
        'its endpoints take no new flow; open flows stay, their new requests '
        f'go to the {staying} endpoints elsewhere while these have free slots'
        if staying
        else 'the service has no serving endpoint elsewhere: every new flow '
        'is refused at once; open flows stay and run their requests there'
    )
    return PlannedChange(
        ChangeKind.DATA_CENTER_EVACUATED,
        after.name,
        f'data centre {data_center}',
        effect,
        is_risky=not staying,
    )
