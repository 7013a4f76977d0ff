"""Stand-ins shared by the scripts of this review: an HTTP server, the platform's
store, and the project's programs as child processes. Python's standard library
only; all addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def find_program():
    """The program that was built last; None if there is none."""
    paths = [os.path.join(ROOT, it, "ospreyspur") for it in ("target", "build")]
    paths = [it for it in paths if os.path.exists(it)]
    return max(paths, key=os.path.getmtime) if paths else None


def free_ports(count):
    """Ports of 127.0.0.1 that are free for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        port = tcp.getsockname()[1]
        try:
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for it in held:
        it.close()
    return ports


class Record:
    """Writes what happened, with the seconds since the start, to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class Children:
    """The project's processes of one run."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.running = {}

    def start(self, name, role, settings):
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        env["OSPREYSPUR_SETTINGS"] = path
        self.running[name] = subprocess.Popen(
            [find_program(), role], cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, start_new_session=True)
        log.close()
        self.record.write("started %s" % name)

    def send(self, name, number):
        self.record.write("%s to %s" % (signal.Signals(number).name, name))
        self.running[name].send_signal(number)

    def kill(self, name):
        self.send(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def end_all(self):
        for it in self.running.values():
            if it.poll() is None:
                it.kill()
                it.wait()

    def ended(self):
        """Names of processes that have ended by themselves."""
        return [name for name, it in self.running.items() if it.poll() is not None]


class Request:
    def __init__(self, method, target, headers, body, writer):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.writer = writer
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))

    def json(self):
        return json.loads(self.body) if self.body else {}


class NoAnswer(Exception):
    """The request gets no answer; its connection stays open and silent."""


class Done(Exception):
    """The handler has written to the connection itself and closes it."""


async def read_head(reader):
    """First line and headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def format_answer(status, headers, body):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % it for it in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """handler(request) returns (status, headers, body bytes)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target = head[0].split(" ")[:2]
                try:
                    out = await self.handler(Request(method, target, head[1], body, writer))
                except NoAnswer:
                    await reader.read()
                    return
                except Done:
                    return
                writer.write(format_answer(*out))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def json_answer(status, body):
    return status, {"Content-Type": "application/json"}, json.dumps(body).encode()


class Store:
    """The platform's store as PROTOCOL.md describes it. Subclasses change what a
    read with serializable=1 answers. A change is an entry of history: revision,
    key, and the item or None for a removed key."""

    page_items = 500

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 0
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = value if isinstance(value, str) else json.dumps(value)
        item = {"key": key, "value": base64.b64encode(text.encode()).decode(),
                "rev": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.note(key, item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(key, None)

    def note(self, key, item):
        self.history.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def text_of(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def expire(self):
        now = time.monotonic()
        over = [it for it, (_, end) in self.leases.items() if end <= now]
        for it in over:
            del self.leases[it]
        for key in [k for k, it in self.items.items()
                    if it["lease"] and it["lease"] not in self.leases]:
            self.remove(key)

    def items_at(self, revision):
        """All items as they were at a revision."""
        out = {}
        for rev, key, item in self.history:
            if rev > revision:
                break
            if item is None:
                out.pop(key, None)
            else:
                out[key] = item
        return out

    def revision_to_read(self, request):
        """The revision that a read shows."""
        return self.revision

    async def handle(self, request):
        self.expire()
        path = request.path
        if path == "/ospreyspur/kv-key":
            rev = self.revision_to_read(request)
            item = self.items_at(rev).get(request.query["key"])
            return json_answer(200 if item else 404, dict(item or {}, store_revision=rev))
        if path == "/ospreyspur/kv-range":
            rev = self.revision_to_read(request)
            prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
            found = self.items_at(rev)
            keys = sorted(k for k in found if k.startswith(prefix) and k > after)
            page = keys[:self.page_items]
            return json_answer(200, {"items": [found[k] for k in page],
                                     "more_pages": len(keys) > len(page),
                                     "store_revision": rev})
        if path == "/ospreyspur/kv-watch":
            return await self.watch(request)
        if path == "/ospreyspur/kv-txn":
            return self.transact(request.json())
        if path == "/ospreyspur/kv-lease":
            self.last_lease += 1
            span = request.json()["ttl_ms"] / 1000
            self.leases[self.last_lease] = (span, time.monotonic() + span)
            return json_answer(200, {"lease": self.last_lease, "ttl_ms": span * 1000})
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/ospreyspur/kv-keep/"):
            if number not in self.leases:
                return json_answer(404, {})
            span = self.leases[number][0]
            self.leases[number] = (span, time.monotonic() + span)
            return json_answer(200, {"ttl_ms": span * 1000})
        if path.startswith("/ospreyspur/kv-lease-end/"):
            self.leases.pop(number, None)
            self.expire()
            return json_answer(200, {})
        return json_answer(400, {})

    async def watch(self, request):
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        end = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        while True:
            self.expire()
            events = [item or {"key": key, "rev": rev, "removed": True}
                      for rev, key, item in self.history
                      if rev > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": events, "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        rows = body.get("expect_rev", [])
        if any(self.items.get(it["key"], {}).get("rev", 0) != it["rev"] for it in rows):
            found = [self.items[it["key"]] for it in rows if it["key"] in self.items]
            return json_answer(412, {"items": found})
        puts = body.get("puts", [])
        if any(it.get("lease") and it["lease"] not in self.leases for it in puts):
            return json_answer(404, {})
        for it in puts:
            self.write(it["key"], base64.b64decode(it["value"]).decode(), it.get("lease", 0))
        for it in body.get("remove", []):
            self.remove(it)
        return json_answer(200, {"rev": self.revision})


def run_case(main, record_path):
    """Runs main(record, children, folder) and exits with its result."""
    import tempfile
    record = Record(record_path)
    # Lets the clean-up below run when the script is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if find_program() is None:
        record.write("no program was built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        children = Children(folder, record)
        try:
            result = asyncio.run(main(record, children))
            if result != 0 and os.environ.get("KEEP_LOGS"):
                import shutil
                shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        except Exception as error:  # The case could not be run.
            record.write("cannot run: %r" % error)
            result = 2
        finally:
            children.end_all()
    record.write("exit %d" % result)
    print("exit %d" % result)
    sys.exit(result)
