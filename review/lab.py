"""Stand-ins for the cases of the second review: the platform's store, a plain
replica, a client, and helpers that start the project's programs.

Everything runs in one asyncio loop on loopback addresses and the real clock.
Only the Python standard library is used.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BEGIN = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic() - BEGIN


def free_ports(n, ip="127.0.0.1"):
    """Ports that were free a moment ago, in ascending order."""
    socks = [socket.socket() for _ in range(n)]
    for it in socks:
        it.bind((ip, 0))
    ports = sorted(it.getsockname()[1] for it in socks)
    for it in socks:
        it.close()
    return ports


def free_range(n, low=23000, high=31000):
    """The first of n consecutive free ports."""
    base = low + os.getpid() * 37 % (high - low - n)
    for first in list(range(base, high - n, n)) + list(range(low, base, n)):
        try:
            for port in range(first, first + n):
                with socket.socket() as it:
                    it.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
    raise OSError("no free ports")


def free_net():
    """The first three numbers of loopback addresses that nobody else uses: the
    deploy file gives the metrics a fixed port."""
    return "127.%d.%d." % (64 + os.getpid() // 250 % 60, 1 + os.getpid() % 250)


# --- HTTP --------------------------------------------------------------------


class Message:
    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the start line and the headers; None at the end of the stream."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader, is_response=False):
    """Reads a message with its whole body; None if it is incomplete."""
    message = await read_head(reader)
    if not message:
        return None
    try:
        if message.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size:
                    message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return message
        if message.get("content-length"):
            message.body = await reader.readexactly(
                int(message.get("content-length")))
        elif is_response:
            message.body = await reader.read()
        return message
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def response(status, body=b"", headers=None, reason="X"):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    for name, value in (headers or {}).items():
        lines.append("%s: %s" % (name, value))
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# --- the platform's store ----------------------------------------------------


class Store:
    """The key-value store of PROTOCOL.md. It loses nothing, answers after 4 ms
    and keeps its whole history."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 500
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self.expire_forever())

    async def expire_forever(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [it for it, (ttl, at) in self.leases.items() if at < now()]
            for lease in ended:
                del self.leases[lease]
                for key in [k for k, it in self.items.items()
                            if it["lease"] == lease]:
                    self.remove(key)

    def put(self, key, value, lease=0):
        """Returns the time at which the store has taken the value."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        self.items[key] = {"key": key,
                           "value": base64.b64encode(value).decode(),
                           "rev": self.revision, "created": created,
                           "lease": lease}
        self.history.append(dict(self.items[key]))
        self.notify()
        return now()

    def remove(self, key):
        if key not in self.items:
            return now()
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "rev": self.revision, "removed": True})
        self.notify()
        return now()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if not request:
                    break
                await asyncio.sleep(0.004)
                method, target, _ = request.start.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, body = await self.perform(method, url.path, query,
                                                  request.body)
                writer.write(response(status, json.dumps(body).encode(),
                                      {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def perform(self, method, path, query, body):
        if path == "/ospreyspur/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"store_revision": self.revision}
            return 200, dict(item, store_revision=self.revision)
        if path == "/ospreyspur/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "more_pages": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/ospreyspur/kv-watch":
            return await self.watch(query)
        data = json.loads(body or b"{}")
        if path == "/ospreyspur/kv-txn":
            return self.transact(data)
        if path == "/ospreyspur/kv-lease":
            self.last_lease += 1
            ttl = min(max(data["ttl_ms"], 1000), 600000)
            self.leases[self.last_lease] = (ttl, now() + ttl / 1e3)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/ospreyspur/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1e3)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/ospreyspur/kv-lease-end/"):
            self.leases.pop(int(path.rsplit("/", 1)[1]), None)
            return 200, {}
        return 400, {}

    async def watch(self, query):
        end = now() + int(query.get("wait_ms", 0)) / 1e3
        after = int(query["after"])
        while True:
            events = [it for it in self.history if it["rev"] > after
                      and it["key"].startswith(query["prefix"])]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, data):
        for row in data.get("expect_rev", []):
            if self.items.get(row["key"], {}).get("rev", 0) != row["rev"]:
                keys = [it["key"] for it in data["expect_rev"]]
                return 412, {"items": [self.items[k] for k in keys
                                       if k in self.items]}
        for row in data.get("puts", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in data.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in data.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}


# --- a plain replica ---------------------------------------------------------


class Replica:
    """A replica of a plain service. Runs `slots` requests at once, queues as
    many and rejects more with Not-Executed."""

    def __init__(self, store, name, service, slots=2, work=0.04, record=None):
        self.store, self.name, self.service = store, name, service
        self.slots, self.work, self.record = slots, work, record
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.arrivals = []  # (time, request id)
        self.cut = []  # ids of requests that its end broke off
        self.running = set()
        self.writers = set()
        self.has_ended = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": "a",
                "version": "1", "slots": self.slots, "state": state,
                "cold_left_ms": 0, "seq": 1}

    def list(self):
        return self.store.put("servers/" + self.name, self.entry())

    def unlist(self):
        return self.store.remove("servers/" + self.name)

    def end(self):
        self.has_ended = True
        self.cut = sorted(self.running)
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.has_ended:
                request = await read_message(reader)
                if not request:
                    break
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        rid = request.get("request-id")
        path = request.start.split(" ")[1]
        expected = request.get("expect-replica")
        if expected and expected != self.name:
            return response(421, b"", {"Request-Id": rid})
        if path == "/health":
            return response(200, b"", {"Replica-Id": self.name})
        self.arrivals.append((now(), rid))
        if self.waiting >= self.slots:
            return response(503, b"", {"Request-Id": rid, "Not-Executed": "1"})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running.add(rid)
            try:
                await asyncio.sleep(self.work)
            finally:
                self.running.discard(rid)
        return response(200, b"ok " + rid.encode(),
                        {"Request-Id": rid,
                         "Replica-Stamp": "stamp." + self.name})


# --- the project's programs --------------------------------------------------


class Programs:
    """Starts the programs of deploy/system.toml and ends them."""

    def __init__(self):
        self.dir = tempfile.mkdtemp(prefix="ospreyspur-case-")
        self.running = {}
        text = open(os.path.join(ROOT, "deploy/system.toml")).read()
        self.roles = {}
        for name, rest in re.findall(r"\[roles\.(\w+)\]\n(.*?)(?=\n\[|\Z)",
                                     text, re.S):
            self.roles[name] = dict(re.findall(r'(\w+) = "([^"]*)"', rest))

    async def start(self, name, role, fields):
        """Fills the role's template as the platform does, and starts it."""
        template = open(os.path.join(ROOT, self.roles[role]["template"])).read()
        filled = re.sub(r"\{\{([\w.]+)\}\}",
                        lambda it: str(fields.get(it.group(1), "")), template)
        path = os.path.join(self.dir, name + ".ini")
        with open(path, "w") as out:
            out.write(filled)
        await self.launch(name, role, path)

    async def launch(self, name, role, path):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["OSPREYSPUR_SETTINGS"] = path
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        words = self.roles[role]["run"].split()
        words[0] = os.environ.get("PROGRAM", words[0])
        self.running[name] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, name, number):
        if self.running[name].returncode is None:
            self.running[name].send_signal(number)

    def log(self, name):
        with open(os.path.join(self.dir, name + ".log"),
                  errors="replace") as it:
            return it.read()

    async def stop(self, keep=False):
        for it in self.running.values():
            if it.returncode is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
        for it in self.running.values():
            await it.wait()
        if not keep and not os.environ.get("KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)


BOUNDS = {"bounds.grace_s": 8, "bounds.retry_ratio": 0.2,
          "bounds.retry_slack": 92, "bounds.retry_window_s": 10,
          "bounds.require_fence": "true"}


def front_fields(name, ip, first_port, store, seeds, zone="a"):
    """Fields of a front machine, as in DEPLOY.md; ports from first_port on."""
    p = first_port
    return dict(BOUNDS, **{
        "node": name, "ip": ip, "zone": zone, "platform.address": store.address,
        "listen.front": "%s:%d" % (ip, p), "listen.ready": "%s:%d" % (ip, p + 1),
        "listen.control": "%s:%d" % (ip, p + 2),
        "port_range": "%d,%d" % (p + 4, p + 19), "seeds": ",".join(seeds),
        "limits.memory_mb": 260, "limits.max_fds": 4100})


async def is_ready(address):
    try:
        answer = await asyncio.wait_for(call(address, "GET /ospreyspur/ready "
                                             "HTTP/1.1\r\nHost: x\r\n\r\n"), 1)
        return bool(answer) and " 200 " in answer.start
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_ready(addresses, seconds=15):
    end = now() + seconds
    while now() < end:
        if all([await is_ready(it) for it in addresses]):
            return True
        await asyncio.sleep(0.1)
    return False


async def call(address, text):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(text.encode() if isinstance(text, str) else text)
        return await read_message(reader, True)
    finally:
        writer.close()


class Record:
    """record.txt of a case."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        line = "%9.3f  %s" % (now(), " ".join(str(it) for it in words))
        self.out.write(line + "\n")
        self.out.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


def run_case(main, limit=110):
    """Runs the coroutine main() and exits with its result; 2 on any error."""
    async def limited():
        return await asyncio.wait_for(main(), limit)
    try:
        code = asyncio.run(limited())
    except Exception as error:  # the case could not run
        print("could not run:", repr(error), file=sys.stderr)
        code = 2
    sys.exit(code)
