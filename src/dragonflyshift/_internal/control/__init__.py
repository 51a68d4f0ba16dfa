"""Configuration of a daemon, and its server for peers and operators."""

from dragonflyshift._internal.control.configuration import ConfigurationFeed
from dragonflyshift._internal.control.server import (
    ControlServer,
    ReportProvider,
)

__all__ = ('ConfigurationFeed', 'ControlServer', 'ReportProvider')
