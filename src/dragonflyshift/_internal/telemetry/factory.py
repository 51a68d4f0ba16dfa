"""Creation of metrics and tracing from the settings."""

from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.telemetry.metrics import Metrics
from dragonflyshift._internal.telemetry.traces import Tracing


def create_metrics(settings: Settings) -> Metrics:
    """Return metrics that are sent to statsd if an address is set."""
    plugin = 'statsd' if settings.statsd else 'none'
    return find_plugin(Metrics, plugin)(settings.role.value, settings.statsd)


def create_tracing(settings: Settings) -> Tracing:
    """Return tracing that exports spans if a URL is set."""
    instance = settings.instance or str(settings.listen)
    return Tracing(settings.traces, settings.role.value, instance)
