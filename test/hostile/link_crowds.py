"""Crowds for the listeners between processes: links (gRPC, so HTTP/2) and load
reports (UDP)."""

import os
import socket
import struct
import threading
import time

from crowds import CLIENTS, CLIENT_BYTES, CROWD_S, Crowd, connect, hold, pour

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, WINDOW_UPDATE, CONTINUATION = 0, 1, 3, 4, 6, 8, 9
END_HEADERS = 4
FRAME_BYTES = 16384
FIRST_WINDOW = 65535
MESSAGE_BYTES = 48 << 20
UPDATE_BYTES = 256 << 10
DATAGRAM_BYTES = 32 << 10
BATCH = 500
HANDSHAKE_LIMIT_S = 5


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def literal(name, value):
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


LINK_HEADERS = b"".join(literal(name, value) for name, value in (
    (b":method", b"POST"), (b":scheme", b"http"),
    (b":path", b"/ospreyspur.wire.Peer/Link"), (b":authority", b"x"),
    (b"content-type", b"application/grpc"), (b"te", b"trailers")))
OPENING = PREFACE + frame(SETTINGS, 0, 0)


def open_stream(number):
    return frame(HEADERS, END_HEADERS, number, LINK_HEADERS)


def handshake(port):
    """Whether the listener greets a link."""
    try:
        with connect(port) as it:
            it.settimeout(HANDSHAKE_LIMIT_S)
            it.sendall(OPENING)
            answer = it.recv(9)
            return len(answer) >= 4 and answer[3] == SETTINGS
    except OSError:
        return False


def pings(port):
    return pour(port, OPENING, frame(PING, 0, 0, b"12345678") * BATCH)


def settings(port):
    return pour(port, OPENING, frame(SETTINGS, 0, 0) * BATCH)


def continuations(port):
    field = literal(b"x", b"y" * 100)
    opening = OPENING + frame(HEADERS, 0, 1, LINK_HEADERS)
    return pour(port, opening, frame(CONTINUATION, 0, 1, field * 100))


def numbered(port, make):
    def client(crowd, number, left):
        sent = 0
        with connect(port) as it:
            it.sendall(OPENING)
            it.settimeout(0.5)
            for first in range(1, 1 << 30, 2 * BATCH):
                part = b"".join(make(n) for n in range(first, first + 2 * BATCH, 2))
                it.sendall(part)
                sent += len(part)
                if sent >= left or crowd.is_over():
                    break
        return sent

    return Crowd(CLIENTS, client)


def streams(port):
    return numbered(port, open_stream)


def resets(port):
    return numbered(port, lambda n: open_stream(n) + frame(RST_STREAM, 0, n, b"\0\0\0\0"))


class Window:
    """Counts what the other side allows this one to send."""

    def __init__(self, connection):
        self.connection = connection
        self.changed = threading.Condition()
        self.left = {0: FIRST_WINDOW, 1: FIRST_WINDOW}
        self.is_open = True
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        buf = b""
        try:
            while part := self.connection.recv(1 << 16):
                buf += part
                while len(buf) >= 9 and len(buf) >= 9 + int.from_bytes(buf[:3], "big"):
                    size = int.from_bytes(buf[:3], "big")
                    self.take(buf[3], buf[4], int.from_bytes(buf[5:9], "big"), buf[9:9 + size])
                    buf = buf[9 + size:]
        except OSError:
            pass
        with self.changed:
            self.is_open = False
            self.changed.notify()

    def take(self, kind, flags, stream, payload):
        with self.changed:
            if kind == WINDOW_UPDATE and stream in self.left:
                self.left[stream] += int.from_bytes(payload, "big")
            elif kind == SETTINGS and not flags & 1:
                for i in range(0, len(payload), 6):
                    name, value = struct.unpack(">HI", payload[i:i + 6])
                    if name == 4:
                        self.left[1] += value - FIRST_WINDOW
                self.connection.sendall(frame(SETTINGS, 1, 0))
            elif kind == PING and not flags & 1:
                self.connection.sendall(frame(PING, 1, 0, payload))
            self.changed.notify()

    def send(self, data, end):
        """Sends on stream 1; returns the bytes that could be sent."""
        sent = 0
        while sent < len(data):
            with self.changed:
                self.changed.wait_for(
                    lambda: not self.is_open or min(self.left.values()) > 0, timeout=0.2)
                n = min(FRAME_BYTES, len(data) - sent, *self.left.values())
                if not self.is_open or time.monotonic() >= end:
                    raise ConnectionError
                if n <= 0:
                    continue
                for it in self.left:
                    self.left[it] -= n
            self.connection.sendall(frame(DATA, 0, 1, data[sent:sent + n]))
            sent += n
        return sent


def message(body):
    return b"\0" + struct.pack(">I", len(body)) + body


def sending(port, make):
    def client(crowd, number, left):
        with connect(port) as it:
            it.settimeout(1)
            it.sendall(OPENING + open_stream(1))
            window = Window(it)
            it.settimeout(None)
            sent = 0
            while sent < left:
                sent += window.send(make(), crowd.end)
        return sent

    return Crowd(CLIENTS, client)


def big_messages(port):
    """Messages that are far larger than those of the protocol."""
    return sending(port, lambda: message(b"m" * MESSAGE_BYTES))


def varint(n):
    out = b""
    while n > 127:
        out += bytes([n & 127 | 128])
        n >>= 7
    return out + bytes([n])


def field(number, value):
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    return varint(number << 3 | 2) + varint(len(value)) + value


def updates(port):
    """Sound messages, as fast as they can be sent."""
    update = field(1, 0) + field(2, field(1, 1)) + field(3, b"v" * UPDATE_BYTES)
    body = message(field(1, field(17, update)))
    return sending(port, lambda: body)


def silent_links(port):
    return hold(port, iter(lambda: b"", None))


def half_prefaces(port):
    return hold(port, iter(lambda: PREFACE[:10], None))


def greeted_links(port):
    """Links that are set up and never used."""
    return hold(port, iter(lambda: OPENING, None))


def datagrams(port, make):
    def client(crowd, number, left):
        sent = 0
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as it:
            for _ in range(BATCH):
                data = make()
                it.sendto(data, ("127.0.0.1", port))
                sent += len(data)
                # Slow enough that few are lost on the way.
                time.sleep(0.001)
        return sent

    return Crowd(CLIENTS, client)


def random_datagrams(port):
    return datagrams(port, lambda: os.urandom(1000))


def forged_reports(port):
    """Reports of load by senders that do not exist, each with a long name."""
    return datagrams(port, lambda: field(1, os.urandom(DATAGRAM_BYTES // 2).hex().encode()))


def forged_rows(port):
    """Reports on endpoints, crashes and rates that do not exist."""

    def make():
        out = field(1, b"n" + os.urandom(8).hex().encode())
        for _ in range(60):
            out += field(2, field(1, os.urandom(100).hex().encode()) + field(2, 2 ** 32 - 1))
            crash = b"\x09" + os.urandom(8) + field(2, 1000)
            out += field(3, b"\x09" + os.urandom(8) + field(2, crash) + field(3, 7))
            out += field(11, b"\x09" + os.urandom(8) + field(2, crash) + field(3, 7))
            out += field(4, b"\x09" + os.urandom(8) + b"\x11" + os.urandom(8))
            out += b"\x29" + os.urandom(8) + b"\x41" + os.urandom(8)
            out += field(6, b"\x09" + os.urandom(8) + b"\x11" + struct.pack("<d", 0.001))
        return out

    return datagrams(port, make)
