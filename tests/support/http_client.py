"""Small HTTP/1.1 client on one new connection per request.

The standard library's client hides whether a chunked body ended properly. The checks depend on
exactly that, so this client reports it.
"""

import json
import socket
from dataclasses import dataclass, field


@dataclass
class Response:
    status: int = 0  # 0: no complete response header was read
    headers: dict = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    is_complete: bool = False  # the body ended as the header announced
    error: str = ""  # cause if the connection broke or timed out
    is_connected: bool = False

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


def split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def encode_request(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1", "Host: almondline"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


class _Reader:
    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise ConnectionError("connection closed early")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def exactly(self, n):
        while len(self.buffer) < n:
            self.fill()
        data, self.buffer = self.buffer[:n], self.buffer[n:]
        return data


def _read_header(reader, response):
    response_status = int(reader.line().split(b" ")[1])
    while line := reader.line():
        name, _, value = line.decode("latin-1").partition(":")
        response.headers[name.strip().lower()] = value.strip()
    response.status = response_status


def _read_body(reader, response, on_data):
    def add(data):
        response.body += data
        if on_data:
            on_data(data)

    if response.header("transfer-encoding") == "chunked":
        while size := int(reader.line().split(b";")[0], 16):
            add(reader.exactly(size))
            reader.line()
        reader.line()
    else:
        left = int(response.header("content-length", "0"))
        while left > 0:
            if not reader.buffer:
                reader.fill()
            data = reader.exactly(min(left, len(reader.buffer)))
            left -= len(data)
            add(data)
    response.is_complete = True


def call(address, method, target, headers=None, body=b"", timeout=10.0, on_data=None):
    """Sends one request and reads the response. Never raises for a failure of the other side."""
    response = Response()
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    try:
        with socket.create_connection(split_address(address), timeout=timeout) as connection:
            response.is_connected = True
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.sendall(encode_request(method, target, headers or {}, data))
            reader = _Reader(connection)
            _read_header(reader, response)
            _read_body(reader, response, on_data)
    except (OSError, ValueError, IndexError) as e:
        response.error = str(e) or type(e).__name__
    return response
