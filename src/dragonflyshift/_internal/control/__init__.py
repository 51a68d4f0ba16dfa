"""The control side of a daemon: documents, status and routes for others."""

from dragonflyshift._internal.control.configuration import ConfigurationFeed
from dragonflyshift._internal.control.server import ControlServer, Reports

__all__ = ('ConfigurationFeed', 'ControlServer', 'Reports')
