"""A stand-in for an endpoint of the platform: large responses, long streams and
slow runs on request."""

import socket
import threading
import time

BIG_BYTES = 12 << 20
EVENT_BYTES = 32 << 10
EVENTS = 2048
SLOW_S = 3


class Endpoint:
    """Serves each connection on a thread of its own."""

    def __init__(self):
        self.name = "i-1"
        self.heads = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection, connection.makefile("rb") as reader:
                while self.serve_one(connection, reader):
                    pass
        except OSError:
            pass

    def serve_one(self, connection, reader):
        line = reader.readline()
        if not line:
            return False
        path = line.split()[1].decode()
        headers = []
        while (header := reader.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode("latin-1").partition(":")
            headers.append((name.lower(), value.strip()))
        fields = dict(headers)
        left = int(fields.get("content-length", 0))
        while left > 0:
            left -= len(reader.read(min(left, 1 << 16)) or b" " * left)
        self.heads.append((path, headers))
        self.respond(connection, path, fields.get("request-id", ""))
        return True

    def respond(self, connection, path, label):
        head = (f"HTTP/1.1 200 OK\r\nRequest-Id: {label}\r\n"
                f"Replica-Id: {self.name}\r\nReplica-Stamp: {self.name}\r\n")
        if path.startswith("/events/"):
            connection.sendall((head + "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n").encode())
            for i in range(1, EVENTS + 1):
                event = f"id: {i}\ndata: {'x' * EVENT_BYTES}\n\n".encode()
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            connection.sendall(b"0\r\n\r\n")
            return
        if path.startswith("/slow"):
            time.sleep(SLOW_S)
        body = b"x" * BIG_BYTES if path.startswith("/big") else b"ok"
        connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
