import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift.platform.binding import bind_early
from dragonflyshift.platform.settings import read_settings

_BALANCER_SETTINGS: dict[str, Any] = {
    'node': 'edge-1',
    'machineClass': 'edge',
    'ip': '127.0.0.1',
    'zone': 'kl-a',
    'zones': {'kl-a': 'kl'},
    'listenAddrs': {
        'packetAddr': '127.0.0.1:8172',
        'readiness': '127.0.0.1:8167',
        'controlPlane': '127.0.0.1:8166',
    },
    'internalPorts': [7720, 7735],
    'seeds': ['127.0.0.1:8166', '10.2.0.40:8166'],
    'bootstrap': True,
    'bounds': {'graceS': 6, 'flowMaxS': 60},
    'platform': {'address': '10.200.1.7:8169'},
    'aFieldThatMayCome': [1],
}
_SIDECAR_SETTINGS: dict[str, Any] = {
    **_BALANCER_SETTINGS,
    'machineClass': 'side',
    'listenAddrs': {
        'packetAddr': '127.0.0.1:8172',
        'outbound': '127.0.0.1:8162',
        'readiness': '127.0.0.1:8167',
    },
    'service': 'lists',
    'app': '127.0.0.1:8165',
    'bootstrap': False,
}


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'node.json'

    def test_settings_of_a_balancer(self) -> None:
        settings = self._read(_BALANCER_SETTINGS)
        self.assertEqual(settings.fabric, ('127.0.0.1', 8172))
        self.assertEqual(settings.peers, ('127.0.0.1', 7720))
        # The own address is left out; seeds have the port of the peers.
        self.assertEqual(settings.seeds, (('10.2.0.40', 7720),))
        self.assertTrue(settings.is_first_start)
        self.assertIsNone(settings.backend)

    def test_settings_of_a_sidecar(self) -> None:
        settings = self._read(_SIDECAR_SETTINGS)
        self.assertIsNone(settings.fabric)
        self.assertEqual(settings.backend, ('127.0.0.1', 8165))
        self.assertEqual(settings.outbound, ('127.0.0.1', 8162))
        self.assertEqual(settings.client_port, 8172)
        self.assertEqual(settings.plugins, {})

    def test_plugins_are_chosen_by_kind(self) -> None:
        plugins = {'opening-policy': 'fair-share'}
        settings = self._read({**_SIDECAR_SETTINGS, 'plugins': plugins})
        self.assertEqual(settings.plugins, plugins)

    def test_shortest_bound_of_a_change_counts(self) -> None:
        for bounds, bound_s in (
            ({}, 3),
            ({'configApplyMs': 6000, 'drainMs': 5000}, 5),
            ({'configApplyMs': 6000, 'evacuateMs': 2500.0}, 2.5),
            ({'configApplyMs': 0}, 0.1),
        ):
            settings = self._read({**_SIDECAR_SETTINGS, 'bounds': bounds})
            with self.subTest(bounds=bounds):
                self.assertEqual(settings.change_bound_s, bound_s)

    def test_bounds_of_cold_servers(self) -> None:
        settings = self._read(_SIDECAR_SETTINGS)
        bounds = (settings.warmup_overage, settings.warmup_slack)
        self.assertEqual(bounds, (1.5, 5))
        self.assertFalse(settings.has_warmup_bounds)
        changes: dict[str, Any] = {'warmupOverage': 1.25, 'warmupSlack': 2}
        settings = self._read({**_SIDECAR_SETTINGS, 'bounds': changes})
        bounds = (settings.warmup_overage, settings.warmup_slack)
        self.assertEqual(bounds, (1.25, 2))
        self.assertTrue(settings.has_warmup_bounds)
        for value in (-1, float('nan'), 'much'):
            bad = {**_SIDECAR_SETTINGS, 'bounds': {'warmupSlack': value}}
            with self.subTest(value=value), self.assertRaises(SettingsError):
                self._read(bad)

    def test_error_names_the_missing_field(self) -> None:
        for name in ('node', 'ip', 'zone', 'listenAddrs', 'internalPorts'):
            incomplete = {
                key: _BALANCER_SETTINGS[key]
                for key in _BALANCER_SETTINGS
                if key != name
            }
            with self.subTest(missing=name):
                with self.assertRaises(SettingsError) as caught:
                    self._read(incomplete)
                self.assertIn(name, str(caught.exception))

    def test_malformed_files_are_refused(self) -> None:
        for text in ('', '{', '[]', '{"node": 1}'):
            self.path.write_text(text)
            with self.subTest(text=text), self.assertRaises(SettingsError):
                read_settings(str(self.path))
        with self.assertRaises(SettingsError):
            read_settings('/nowhere/node.json')

    def test_sockets_are_bound_early(self) -> None:
        balancer_settings = {**_BALANCER_SETTINGS, 'internalPorts': [0, 0]}
        balancer_settings['listenAddrs'] = {
            **_BALANCER_SETTINGS['listenAddrs'],
            'packetAddr': '127.0.0.1:0',
        }
        self.path.write_text(json.dumps(balancer_settings))
        sockets = bind_early(str(self.path))
        bound = sockets.take(('127.0.0.1', 0))
        self.addCleanup(bound.close)
        self.assertNotEqual(bound.getsockname()[1], 0)

    def test_malformed_settings_bind_nothing(self) -> None:
        self.path.write_text('{')
        bind_early(str(self.path))
        bind_early('')

    def _read(self, body: dict[str, Any]) -> Any:
        self.path.write_text(json.dumps(body))
        return read_settings(str(self.path))
