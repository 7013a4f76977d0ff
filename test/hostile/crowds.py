"""Crowds of clients that do not behave, for HTTP listeners. A crowd is small
and fixed: its clients, what each sends at most, and how long it goes on."""

import itertools
import os
import socket
import struct
import threading
import time

CROWD_S = 4
CLIENTS = 4
CLIENT_BYTES = 96 << 20
PART = 64 << 10
CONNECTIONS = 300
READERS = 24
BODIES = 48
SMALL_BODIES = 160
NAMES = 2000
NAME_BYTES = 1024
CONNECT_LIMIT_S = 2


def connect(port, receive_bytes=None):
    it = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_bytes:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    it.settimeout(CONNECT_LIMIT_S)
    try:
        it.connect(("127.0.0.1", port))
    except OSError:
        it.close()
        raise
    return it


class Crowd:
    """Runs `client` on `count` threads, which repeat it for CROWD_S or until
    each has sent CLIENT_BYTES. `held` are connections that stay open until
    leave()."""

    def __init__(self, count, client):
        self.end = time.monotonic() + CROWD_S
        self.held = []
        self.client = client
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True)
                        for i in range(count)]

    def run(self, number):
        left = CLIENT_BYTES
        while time.monotonic() < self.end and left > 0:
            try:
                left -= self.client(self, number, left) or 0
            except OSError:
                time.sleep(0.01)

    def is_over(self):
        return time.monotonic() >= self.end

    def start(self):
        for it in self.threads:
            it.start()
        return self

    def join(self):
        for it in self.threads:
            it.join()

    def leave(self):
        for it in self.held:
            it.close()


def pour(port, opening, part, drain=False):
    """Clients that send `part` again and again after `opening`."""

    def client(crowd, number, left):
        sent = 0
        with connect(port) as it:
            it.sendall(opening)
            it.settimeout(0.5)
            while sent < left and not crowd.is_over():
                try:
                    sent += it.send(part)
                    if drain:
                        it.recv(1 << 16, socket.MSG_DONTWAIT)
                except (BlockingIOError, TimeoutError):
                    pass
        return sent

    return Crowd(CLIENTS, client)


def hold(port, openings, count=CONNECTIONS, whole_crowd=True):
    """Connections that stay open; each closed one is opened again."""

    def client(crowd, number, left):
        opening = next(openings)
        it = connect(port)
        crowd.held.append(it)
        it.sendall(opening)
        it.settimeout(0.5)
        while not crowd.is_over():
            try:
                if not it.recv(1 << 16):
                    break
            except TimeoutError:
                continue
        if not crowd.is_over():
            crowd.held.remove(it)
            it.close()
            time.sleep(0.2)

    return Crowd(count, client)


def request(path, *headers, method="GET", body=b"", length=None):
    lines = [f"{method} {path} HTTP/1.1", "Host: h", "Request-Id: hostile", *headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


CHUNKED = request("/plain", "Transfer-Encoding: chunked", "X-Part: 1")
CHUNKED = CHUNKED.replace(b"GET", b"POST")


def trailer_line(port):
    return pour(port, CHUNKED + b"1\r\nx\r\n0\r\nX-T: ", b"t" * PART)


def trailer_lines(port):
    line = b"X-T: " + b"t" * 1017 + b"\r\n"
    return pour(port, CHUNKED + b"1\r\nx\r\n0\r\n", line * (PART // len(line)))


def chunk_extension(port):
    return pour(port, CHUNKED + b"1;e=", b"e" * PART)


def chunk_extensions(port):
    return pour(port, CHUNKED, b"1;e=eeeeeeeeeeeeeeee\r\nx\r\n" * (PART // 25))


def chunk_size(port):
    return pour(port, CHUNKED, b"0" * PART)


def header_line(port):
    return pour(port, b"GET / HTTP/1.1\r\nHost: h\r\nX-H: ", b"h" * PART)


def header_lines(port):
    return pour(port, b"GET / HTTP/1.1\r\nHost: h\r\n", b"X-H: hhhhhhhh\r\n" * (PART // 15))


def target(port):
    return pour(port, b"GET /", b"p" * PART)


def line_ends(port):
    return pour(port, b"", b"\r\n" * (PART // 2))


def random_bytes(port):
    return pour(port, b"", os.urandom(PART))


def pipelining(port):
    """Requests after a slow one; no response is read."""
    return pour(port, request("/slow"), request("/plain") * 600)


def silent(port):
    return hold(port, itertools.repeat(b""))


def half_heads(port):
    return hold(port, itertools.repeat(b"GET /plain HTTP/1.1\r\nHost: h\r\n"))


def half_bodies(port):
    return hold(port, itertools.repeat(request("/plain", method="POST", length=10)))


def idle(port):
    """Connections that are kept after an ordinary request."""
    return hold(port, itertools.repeat(request("/plain")))


def held_bodies(port, body_bytes, count, path="/plain", headers=()):
    """Bodies inside the limits of which the last byte does not come."""
    opening = request(path, *headers, method="POST", body=b"b" * (body_bytes - 1),
                      length=body_bytes)
    return hold(port, itertools.repeat(opening), count)


def slow_bodies(port, body_bytes, count, path="/slow", headers=()):
    """Whole bodies inside the limits, for endpoints that take their time."""
    opening = request(path, *headers, method="POST", body=b"b" * body_bytes)
    return hold(port, itertools.repeat(opening), count)


def unread(port, path, *headers):
    """Callers that read nothing of a large response."""

    def client(crowd, number, left):
        with connect(port, receive_bytes=4096) as it:
            it.sendall(request(path, *headers))
            while not crowd.is_over():
                it.settimeout(0.2)
                # Only the end of the connection is looked for.
                if it.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    break
                time.sleep(0.2)

    return Crowd(READERS, client)


def early_leaving(port):
    """Clients that reset their connection at some point of a request."""
    whole = request("/plain", method="POST", body=b"b" * PART)

    def client(crowd, number, left):
        for n in range(1, len(whole), 997 + number):
            if crowd.is_over():
                break
            with connect(port) as it:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                it.sendall(whole[:n])

    return Crowd(CLIENTS, client)


def names(port):
    """Requests of which each has names of its own, as long as they may be."""

    def client(crowd, number, left):
        for _ in range(NAMES):
            if crowd.is_over():
                break
            name = os.urandom(NAME_BYTES // 2).hex()
            headers = [f"Request-Id: {name}", f"Model: {name}", f"Tenant: {name}",
                       f"Prompt-Prefix: {name[:64]}:1,{name[64:80]}:2",
                       f"Authorization: Bearer {name}", "Connection: close"]
            head = "\r\n".join([f"GET /{name} HTTP/1.1", "Host: h", *headers])
            with connect(port) as it:
                it.sendall(head.encode() + b"\r\n\r\n")
                it.recv(1 << 16)

    return Crowd(CLIENTS, client)
