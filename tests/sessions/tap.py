"""TCP relay that records the exchanges between an entry instance and a backend server."""

import socket
import threading

from support.http_client import split_address


class Tap:
    """Listens on a free port and relays each connection to the target address."""

    def __init__(self, target):
        self.target = split_address(target)
        self.exchanges = []  # [request bytes, response bytes] in the order of the connections
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(client,), daemon=True).start()

    def _relay(self, client):
        exchange = [b"", b""]
        with self.lock:
            self.exchanges.append(exchange)
        with client, socket.create_connection(self.target) as server:
            back = threading.Thread(target=self._copy, args=(server, client, exchange, 1),
                                    daemon=True)
            back.start()
            self._copy(client, server, exchange, 0)
            back.join(30)

    def _copy(self, source, sink, exchange, index):
        try:
            while data := source.recv(65536):
                with self.lock:
                    exchange[index] += data
                sink.sendall(data)
        except OSError:
            pass
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def take(self):
        """Returns the exchanges since the last call, without the polls of load and cache events."""
        with self.lock:
            taken, self.exchanges = self.exchanges, []
        polls = (b"GET /v1/load", b"GET /v1/cache/events")
        return [it for it in taken if it[0] and not it[0].startswith(polls)]

    def close(self):
        self.listener.close()
