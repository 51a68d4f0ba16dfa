"""The links of machines to the store, which can be cut without a sign."""

import asyncio


class Link:
    """Relays a machine's connections to the store, unless it is cut.

    A cut is silent: nothing is reset, bytes are dropped in both directions, and
    new connections get no answer. ``watches`` counts the watches that wait.
    """

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.watched_at = float('-inf')
        self.server = None
        self.writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        return self.server.sockets[0].getsockname()[:2]

    def cut(self):
        self.is_cut = True

    def heal(self):
        """Relay again; what was held up by the cut stays lost."""
        self.is_cut = False
        for writer in tuple(self.writers):
            writer.transport.abort()

    def close(self):
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
            self.writers.add(up_writer)
            await asyncio.gather(
                self._relay(reader, up_writer, is_request=True),
                self._relay(up_reader, writer, is_request=False),
            )
        except OSError:
            pass
        finally:
            for each in (writer, up_writer):
                self.writers.discard(each)
                each.close()

    async def _relay(self, reader, writer, *, is_request):
        while data := await reader.read(65536):
            if self.is_cut:
                continue
            if is_request and b'/kv-watch' in data:
                self.watched_at = asyncio.get_running_loop().time()
            writer.write(data)
        writer.transport.abort()
