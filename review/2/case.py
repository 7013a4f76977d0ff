"""Answers without a length. A replica crashes in the middle of such answers; (a) it
was leaving, or (b) the entry was frozen and the replica is back before it wakes. The
clients get the part as a complete success. See claim.txt."""

import asyncio
import os
import signal
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_S = 4.0


class Replica:
    """A replica's process; it writes itself to the store."""

    def __init__(self, store, record, port):
        self.store, self.record, self.port = store, record, port
        self.process = self.name = None

    def start(self, name):
        self.name = name
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "replica.py"), str(self.port), name],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True)
        self.record.write("replica %s starts" % name)

    def tell(self, state):
        self.record.write("%s tells the store: %s" % (self.name, state))
        self.store.write("servers/" + self.name, {
            "service": "fleet", "address": "127.0.0.1:%d" % self.port, "zone": "a",
            "version": "v1", "slots": 12, "state": state, "cold_left_ms": 0, "seq": 1})

    def crash(self):
        self.record.write("%s crashes" % self.name)
        self.process.kill()
        self.process.wait()


async def call(record, port, label):
    """One attempt. Returns what a client can see of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(("POST /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                      "Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi" % (
                          label, TIMEOUT_S * 1000)).encode())
        head = await asyncio.wait_for(standin.read_head(reader), TIMEOUT_S + 2)
        if head is None:
            return "closed without an answer"
        body = await asyncio.wait_for(standin.read_body(reader, head[1]), TIMEOUT_S)
        status = head[0].split(" ")[1]
        is_whole = body.startswith(("begin %s\n" % label).encode()) and body.endswith(
            ("\nend %s\n" % label).encode())
        stamp = head[1].get("replica-stamp", "none")
        record.write("%s: status %s, stamp %s, content-length %s, %d bytes, %s" % (
            label, status, stamp, head[1].get("content-length"), len(body),
            "whole" if is_whole else "not the replica's whole body"))
        if status != "200":
            return "failure"
        return "whole" if is_whole else "part as a success"
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return "cut"
    finally:
        writer.close()


async def main(record, children):
    ports = standin.free_ports(7)
    store = standin.Store()
    route = {"name": "r", "host": "h.example", "prefix": "/p/", "kind": "unsafe",
             "timeout_ms": 4000, "slo_ms": 300, "priority": 2, "service": "fleet", "attempts": 1,
             "public": True}
    store.write("op/config", {
        "version": 1, "routes": [route],
        "services": [{"name": "fleet", "health_path": "/health", "max_conns": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    await standin.HttpServer(store.handle).listen(ports[0])
    replicas = [Replica(store, record, it) for it in ports[1:3]]
    try:
        return await play(record, children, ports, replicas)
    finally:
        for it in replicas:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()


async def play(record, children, ports, replicas):
    for i, it in enumerate(replicas):
        it.start("i-%d" % i)
    await asyncio.sleep(1)
    for it in replicas:
        it.tell("ready")
    children.start("front-0", "direct", """[process]
data_centre = a
platform = 127.0.0.1:%d
peers = 127.0.0.1:%d
stop_notice_ms = 2500
[direct]
name = front-0
listen = 127.0.0.1:%d
ready_listen = 127.0.0.1:%d
link_listen = 127.0.0.1:%d
peer_ports = %d,%d
grace_s = 8
retry_ratio = 0.2
retry_allowance = 88
retry_window_s = 10
""" % (ports[0], ports[5], ports[3], ports[4], ports[5], ports[6], ports[6]))
    await asyncio.sleep(4)
    results = {}

    async def send(labels):
        found = await asyncio.gather(*[call(record, ports[3], it) for it in labels])
        results.update(zip(labels, found))

    async def trial(name, act):
        task = asyncio.create_task(send(["%s%02d" % (name, i) for i in range(8)]))
        await asyncio.sleep(0.3)
        await act()
        await task

    async def nothing():
        pass

    async def crash():
        replicas[0].crash()

    async def leave_and_crash():
        replicas[0].tell("draining")
        await asyncio.sleep(0.2)
        if TROUBLE:
            replicas[0].crash()

    async def freeze_and_crash():
        if not TROUBLE:
            return
        children.send("front-0", signal.SIGSTOP)
        replicas[0].crash()
        await asyncio.sleep(2.0)
        replicas[0].start("i-3")
        await asyncio.sleep(0.8)
        children.send("front-0", signal.SIGCONT)

    def bring_back(name):
        if replicas[0].process.poll() is None:
            replicas[0].process.kill()
            replicas[0].process.wait()
        replicas[0].store.remove("servers/" + replicas[0].name)
        replicas[0].start(name)

    await trial("calm", nothing)
    if TROUBLE:
        record.write("for comparison, a crash of a replica that is neither leaving nor replaced:")
        await trial("only", crash)
        bring_back("i-2")
        await asyncio.sleep(1)
        replicas[0].tell("ready")
        await asyncio.sleep(3)
    record.write("(a) a replica that is leaving crashes:")
    await trial("aaaa", leave_and_crash)
    bring_back("i-4")
    await asyncio.sleep(1)
    replicas[0].tell("ready")
    await asyncio.sleep(3)
    record.write("(b) the entry is frozen while a replica crashes and starts again:")
    await trial("bbbb", freeze_and_crash)
    for name in ("calm", "only", "aaaa", "bbbb"):
        found = [it for label, it in sorted(results.items()) if label.startswith(name)]
        record.write("%s: %s" % (name, {it: found.count(it) for it in sorted(set(found))}))
    if any(it != "whole" for label, it in results.items() if label.startswith("calm")):
        return 2
    return 1 if "part as a success" in results.values() else 0


standin.run_case(main, os.path.join(HERE, "record.txt"))
