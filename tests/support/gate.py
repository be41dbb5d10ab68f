"""TCP forwarder that can keep new connections from being established."""

import select
import socket
import threading

from support.http_client import split_address

OPEN_BACKLOG = 128
# A backlog of 0 holds one connection. Further connection requests are dropped, and the client's
# kernel retransmits them at growing intervals, first after 1 s.
FILLING_CONNECTIONS = 3


class Gate:
    """Forwards connections to a server. While it is closed, connects stay pending.

    A test can thus extend the time between a client's connect and its first write.
    """

    def __init__(self, target):
        self.target = split_address(target)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=OPEN_BACKLOG)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.is_open = True
        self.is_ended = False
        self.fillers = []
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        with self.lock:
            self.is_open = False
            self.listener.listen(0)
            for _ in range(FILLING_CONNECTIONS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.listener.getsockname())
                self.fillers.append(filler)

    def open(self):
        with self.lock:
            for it in self.fillers:
                it.close()
            self.fillers.clear()
            self.listener.listen(OPEN_BACKLOG)
            self.is_open = True

    def end(self):
        self.is_ended = True

    def _accept(self):
        while not self.is_ended:
            select.select([self.listener], [], [], 0.02)
            with self.lock:
                if not self.is_open:
                    client = None
                else:
                    try:
                        client, _ = self.listener.accept()
                    except OSError:
                        client = None
            if client is None:
                # While the gate is closed, the listener stays readable.
                threading.Event().wait(0.005)
                continue
            threading.Thread(target=self._forward, args=(client,), daemon=True).start()
        self.listener.close()

    def _forward(self, client):
        try:
            with client, socket.create_connection(self.target, timeout=5) as server:
                client.setblocking(True)
                server.settimeout(None)
                back = threading.Thread(target=self._copy, args=(server, client), daemon=True)
                back.start()
                self._copy(client, server)
                back.join()
        except OSError:
            pass

    @staticmethod
    def _copy(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
