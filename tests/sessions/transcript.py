"""Text form of an exchange, with the fields that differ from run to run masked."""

import re

REQUEST_ID = re.compile(r"\b[0-9a-f]{32}\b")
ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
TIME = re.compile(r"\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z?")
HEARTBEAT = re.compile(r"^: keep-alive\n\n", re.MULTILINE)


class Masker:
    """Replaces ids, addresses and times. Equal ids get equal names."""

    def __init__(self):
        self.names = {}

    def mask(self, text):
        def name_id(found):
            return self.names.setdefault(found.group(), f"<id-{len(self.names) + 1}>")

        text = TIME.sub("<time>", ADDRESS.sub("<address>", text))
        return REQUEST_ID.sub(name_id, text)


def decode_chunks(body):
    """Joins the chunks of a body. Appends a note if the last chunk is missing."""
    joined = b""
    while body:
        size_text, _, rest = body.partition(b"\r\n")
        size = int(size_text.split(b";")[0] or b"0", 16)
        if size == 0:
            return joined.decode(errors="replace")
        joined += rest[:size]
        body = rest[size + 2:]
    return joined.decode(errors="replace") + "<connection closed within the body>\n"


def format_message(message):
    if not message:
        return "<connection closed without an answer>\n"
    head, _, body = message.partition(b"\r\n\r\n")
    is_chunked = b"transfer-encoding: chunked" in head.lower()
    text = decode_chunks(body) if is_chunked else body.decode(errors="replace")
    # The number of heartbeats depends on the machine's speed.
    text = HEARTBEAT.sub("", text)
    return head.decode("latin-1").replace("\r\n", "\n") + "\n\n" + text.rstrip("\n") + "\n"


def format_exchange(sides, request, response):
    return (f"--- {sides}: request\n{format_message(request)}"
            f"--- {sides}: response\n{format_message(response)}")
