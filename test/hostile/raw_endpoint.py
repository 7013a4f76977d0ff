"""A stand-in for an endpoint in trouble: it sends given bytes in place of a
response, and counts the requests that it was sent."""

import socket
import struct
import threading
import time

from endpoint import Endpoint


class RawEndpoint(Endpoint):
    """Responds properly until `troubles` names what to send for a path: a pair
    of bytes, of which the second ones are sent again and again until the other
    side closes the connection. A third element that is true resets the
    connection instead of closing it."""

    def __init__(self):
        self.troubles = {}
        self.runs = {}
        self.finished = {}
        self.closed = 0
        self.lock = threading.Lock()
        super().__init__()

    def count(self, table, path):
        with self.lock:
            table[path] = table.get(path, 0) + 1

    def respond(self, connection, path, label):
        if path != "/health":
            self.count(self.runs, path)
        if path in self.troubles:
            self.send_trouble(connection, label, *self.troubles[path])
            raise OSError("the connection is closed")
        if path.startswith("/takes/"):
            time.sleep(float(path.split("/")[2]))
        super().respond(connection, path, label)
        self.count(self.finished, path)

    def send_trouble(self, connection, label, once, repeated, is_reset=False):
        connection.sendall(once.replace(b"{id}", label.encode()))
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        try:
            while repeated:
                connection.sendall(repeated)
        except OSError:
            with self.lock:
                self.closed += 1
            raise
