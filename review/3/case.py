"""A list of replicas of two pages, read with serializable=1: the second page is older
than the first. An entry that starts while a replica drains takes the replica for
ready again, and tells the other entries. See claim.txt."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, REPLICAS, OTHERS = 3, 4, 500
DRAIN_MS, CONTACT_MS = 2000, 3000
# How long the replica serves on after drain_ms: "a little longer (at times many
# seconds)".
LONGER_S = 6.0
# PROTOCOL.md: a read with serializable=1 "may be seconds old".
OLD_S = 3.0
CALL_S, WORK_S, TIMEOUT_S = 0.025, 0.25, 4.0


class OldStore(standin.Store):
    """Two copies of the store answer reads that may be old: the one that answers
    first pages is up to date, the one that answers later pages is OLD_S behind."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.is_old = False
        self.times = []

    def note(self, key, item):
        self.times.append((time.monotonic(), self.revision))
        super().note(key, item)

    def revision_to_read(self, request):
        is_stale = request.query.get("serializable") == "1"
        if not (is_stale and self.is_old and request.query.get("after")):
            return self.revision
        until = time.monotonic() - OLD_S
        old = max([rev for at, rev in self.times if at <= until], default=0)
        self.record.write("page of %s after %s: as of revision %d, the store has %d" % (
            request.query["prefix"], request.query["after"], old, self.revision))
        return old


class Replica:
    def __init__(self, name, record):
        self.name, self.record = name, record
        self.server = standin.HttpServer(self.handle)
        self.arrivals = []

    async def handle(self, request):
        label = request.headers.get("request-id", "")
        if request.headers.get("expect-replica") != self.name:
            return 421, {"Replica-Id": self.name}, b""
        self.arrivals.append((time.monotonic(), label))
        await asyncio.sleep(WORK_S)
        return 200, {"Request-Id": label, "Replica-Stamp": self.name}, ("for " + label).encode()

    def end(self):
        """The process ends: what it runs is cut."""
        self.server.server.close()
        for it in list(self.server.writers):
            it.transport.abort()


async def call(port, label, key):
    """One attempt of a request that must not be repeated; its status, or the error."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return "no connection"
    try:
        body = b"x" * 100
        writer.write(("POST /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                      "Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n" % (
                          label, TIMEOUT_S * 1000, key, len(body))).encode() + body)
        head = await asyncio.wait_for(standin.read_head(reader), TIMEOUT_S)
        if head is None:
            return "closed"
        await asyncio.wait_for(standin.read_body(reader, head[1]), TIMEOUT_S)
        return head[0].split(" ")[1]
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return "cut"
    finally:
        writer.close()


async def main(record, children):
    ports = standin.free_ports(2 + REPLICAS + 4 * ENTRIES)
    store_port, other_port = ports[0], ports[1]
    replica_ports, entry_ports = ports[2:2 + REPLICAS], ports[2 + REPLICAS:]
    store = OldStore(record)
    route = {"name": "r", "host": "h.example", "prefix": "/p/", "kind": "unsafe",
             "timeout_ms": 4000, "slo_ms": 300, "priority": 2, "service": "fleet", "attempts": 1,
             "public": False}
    services = [{"name": it, "health_path": "/health", "max_conns": 110, "protocol": "h1",
                 "tls": False} for it in ("fleet", "other")]

    def write_config(version, keys):
        store.write("op/config", {
            "version": version, "routes": [route], "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "t", "api_keys": keys}]})

    write_config(1, ["k"])

    def entry_of(service, address, state="ready"):
        return {"service": service, "address": address, "zone": "a", "version": "v1",
                "slots": 6, "state": state, "cold_left_ms": 0, "seq": 1}

    # Replicas of another service, which has no requests: the list has two pages.
    hosts = ["127.1.%d.%d" % (i // 200, 1 + i % 200) for i in range(OTHERS)]
    other = Replica("other", record)
    other.server.server = await asyncio.start_server(other.server.serve, hosts, other_port)
    for i, host in enumerate(hosts):
        store.write("servers/i-a%03d" % i, entry_of("other", "%s:%d" % (host, other_port)))
    replicas = [Replica("i-z%d" % i, record) for i in range(REPLICAS)]
    for it, port in zip(replicas, replica_ports):
        await it.server.listen(port)
        store.write("servers/" + it.name, entry_of("fleet", "127.0.0.1:%d" % port))
    await standin.HttpServer(store.handle).listen(store_port)

    def start_entry(number):
        own = entry_ports[4 * number:4 * number + 4]
        children.start("front-%d" % number, "direct", """[process]
data_centre = a
platform = 127.0.0.1:%d
peers = 127.0.0.1:%d,127.0.0.1:%d
stop_notice_ms = 2500
[direct]
name = front-%d
listen = 127.0.0.1:%d
ready_listen = 127.0.0.1:%d
link_listen = 127.0.0.1:%d
peer_ports = %d,%d
grace_s = 8
retry_ratio = 0.2
retry_allowance = 88
retry_window_s = 10
""" % (store_port, entry_ports[2], entry_ports[6], number, own[0], own[1], own[2], own[3], own[3]))

    for i in range(ENTRIES):
        start_entry(i)
    # The entry that is killed gets no clients until it is in touch again.
    in_touch_at = 0.0
    results = {}
    senders = {}
    tasks = []
    is_over = False

    async def send_all():
        n = 0
        while not is_over:
            n += 1
            is_back = time.monotonic() >= in_touch_at
            label, entry = "%08x" % n, n % (ENTRIES if is_back else ENTRIES - 1)
            senders[label] = entry

            async def one(label=label, entry=entry):
                results[label] = await call(entry_ports[4 * entry], label, "k")

            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(CALL_S)

    # Clients begin when the entries have run for longer than contact_ms.
    await asyncio.sleep(CONTACT_MS / 1000 + 1)
    sending = asyncio.create_task(send_all())
    await asyncio.sleep(2)
    leaving, port = replicas[0], replica_ports[0]
    store.write("servers/" + leaving.name,
                entry_of("fleet", "127.0.0.1:%d" % port, "draining"))
    taken = time.monotonic()
    record.write("the store takes that %s drains, revision %d" % (leaving.name, store.revision))
    # An operator adds a key, in both runs.
    await asyncio.sleep(0.2)
    write_config(4, ["k", "k2"])
    if TROUBLE:
        store.is_old = True
        in_touch_at = time.monotonic() + 1 + CONTACT_MS / 1000 + 0.5
        await asyncio.sleep(0.5)
        children.kill("front-%d" % (ENTRIES - 1))
        await asyncio.sleep(0.5)
        start_entry(ENTRIES - 1)
        in_touch_at = time.monotonic() + CONTACT_MS / 1000 + 0.5
    await asyncio.sleep(max(0, taken + DRAIN_MS / 1000 + LONGER_S - time.monotonic()))
    record.write("%s ends" % leaving.name)
    leaving.end()
    store.remove("servers/" + leaving.name)
    await asyncio.sleep(2)
    is_over = True
    await sending
    await asyncio.gather(*tasks)
    # All clients' requests go to entries that are in touch.
    late = [(at, label) for at, label in leaving.arrivals
            if at > taken + DRAIN_MS / 1000 and label in senders]
    for at, label in late:
        record.write("%s reached %s %.0f ms after that, from front-%d: answer %s" % (
            label, leaving.name, (at - taken) * 1000, senders[label], results[label]))
    counts = {}
    for it in results.values():
        counts[it] = counts.get(it, 0) + 1
    record.write("%d requests, answers %s; %d reached the leaving replica, %d of them later "
                 "than %d ms after its leaving was taken, of which %d had no success" % (
                     len(results), json.dumps(counts), len(leaving.arrivals), len(late), DRAIN_MS,
                     sum(1 for _, it in late if results[it] != "200")))
    if len(leaving.arrivals) == len(late) or counts.get("200", 0) < len(results) / 2:
        return 2
    return 1 if late else 0


standin.run_case(main, os.path.join(HERE, "record.txt"))
