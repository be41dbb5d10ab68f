"""Stand-in for a replica of the users' platform: plain requests and event streams."""

import os
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

POLL_INTERVAL = 0.05  # seconds until a server notices that it has to stop


class Replica:
    def __init__(self, replica_id):
        self.id = replica_id
        self.runs = []           # attempt ids that ran, in order
        self.requests = []       # headers of each arrival
        self.behaviour = lambda handler: None  # may answer on its own and return True
        self.early_behaviour = lambda handler: None  # the same, before the body is read
        self.events = 3
        self.event_pause = 0.0
        self.before_event = lambda: None
        self.disconnects = []    # times at which a disconnect ended a run
        self.crashes = []        # times at which the replica crashed
        self.connections = set()
        self.server = None

    def crash(self, seconds):
        """Closes all connections and refuses new ones for some seconds."""
        self.crashes.append(time.monotonic())
        port = self.server.server_address[1]
        # Without shutdown() the socket goes on listening while the server's thread polls it.
        self.server.socket.shutdown(socket.SHUT_RDWR)
        self.server.socket.close()
        threading.Thread(target=self.server.shutdown, daemon=True).start()
        for it in list(self.connections):
            disconnect(it)
        threading.Timer(seconds, serve, (self, port)).start()


def disconnect(connection):
    try:
        # shutdown() wakes a thread that reads from the connection; close() would not.
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
    except OSError:
        pass  # it was closed already


def reset(connection):
    """Resets a connection that no other thread uses."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(connection.detach())


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    replica = None

    def log_message(self, *_):
        pass

    def setup(self):
        super().setup()
        self.replica.connections.add(self.connection)

    def finish(self):
        self.replica.connections.discard(self.connection)
        super().finish()

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        self.send_header("Almondline-Attempt-Id", self.headers.get("Almondline-Attempt-Id", ""))
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def abort(self):
        """Closes the connection without completing the response."""
        self.connection.shutdown(socket.SHUT_RDWR)
        self.close_connection = True
        return True

    def write_chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def start_stream(self):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Almondline-Attempt-Id", self.headers["Almondline-Attempt-Id"])
        self.send_header("Almondline-Server-Seal", f"seal-{self.replica.id}")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def stream(self):
        self.start_stream()
        after = int(self.headers.get("Last-Event-Id", 0))
        for n in range(after + 1, self.replica.events + 1):
            time.sleep(self.replica.event_pause)
            self.replica.before_event()
            self.write_chunk(b"id: %d\ndata: piece %d\n\n" % (n, n))
        self.wfile.write(b"0\r\n\r\n")

    def wait_for_disconnect(self, seconds):
        """Runs until the other side closes the connection or the time has passed."""
        self.connection.settimeout(seconds)
        try:
            if not self.connection.recv(1):
                self.replica.disconnects.append(time.monotonic())
        except TimeoutError:
            pass
        except OSError:
            self.replica.disconnects.append(time.monotonic())
        self.close_connection = True
        return True

    def handle_call(self):
        replica = self.replica
        if replica.early_behaviour(self):
            return
        length = int(self.headers.get("Content-Length", 0))
        self.body = self.rfile.read(length)
        replica.requests.append((self.command, self.path, dict(self.headers)))
        if self.headers.get("Almondline-Expect-Instance") != replica.id:
            self.answer(421, headers=[("Almondline-Replica-Id", replica.id)])
            return
        if replica.behaviour(self):
            return
        replica.runs.append(self.headers["Almondline-Attempt-Id"])
        if "stream" in self.path:
            self.stream()
            return
        self.answer(200, b"ran " + self.body, [("Almondline-Server-Seal", f"seal-{replica.id}")])

    do_GET = do_POST = handle_call


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128  # connections that may arrive at the same time


def serve(replica, port):
    """Serves the replica on loopback until the process ends."""
    handler = type("ReplicaHandler", (Handler,), {"replica": replica})
    server = Server(("127.0.0.1", port), handler)
    replica.server = server
    server.handle_error = lambda *_: None  # tests abort connections on purpose
    threading.Thread(target=server.serve_forever, args=(POLL_INTERVAL,), daemon=True).start()
    return server
