"""Starts the processes of one test on loopback addresses and watches one of
them: its memory, its descriptors and what its sockets have received but not
read."""

import base64
import hashlib
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.request

from endpoint import Endpoint

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "build", "ospreyspur")
STANDIN = os.path.join(ROOT, "build", "ospreyspur-standin")

# The machine that each process is given: the memory of the platform's smallest
# machine, and few descriptors, so that a small crowd could take them all.
MEMORY_BYTES = 128 * 1000 * 1000
DESCRIPTORS = 256

MAX_HEADER_BYTES = 8192
MAX_BODY_BYTES = 4 << 20
KEY = "rider-key"
START_LIMIT_S = 30
WATCH_INTERVAL_S = 0.05
TCP_STATE_LISTEN = "0A"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def address_of(port):
    return f"127.0.0.1:{port}"


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def machine_settings():
    """Tells the program the limits of its machine, if it has settings for
    them."""
    done = subprocess.run([PROGRAM, "settings"], capture_output=True, text=True, check=True)
    table = done.stdout
    lines = ""
    if "process.memory_mb" in table:
        lines += f"memory_mb = {MEMORY_BYTES // 1000000}\n"
    if "process.max_descriptors" in table:
        lines += f"max_descriptors = {DESCRIPTORS}\n"
    return lines


def unread_bytes(ports):
    """Bytes that have arrived at sockets with one of the local ports and have
    not been read."""
    total = 0
    for table in ("/proc/net/tcp", "/proc/net/udp"):
        with open(table, encoding="ascii") as rows:
            for row in list(rows)[1:]:
                fields = row.split()
                port = int(fields[1].split(":")[1], 16)
                if port in ports and fields[3] != TCP_STATE_LISTEN:
                    total += int(fields[4].split(":")[1], 16)
    return total


class Watch(threading.Thread):
    """Samples the memory and the descriptors of a process until stopped."""

    def __init__(self, process, ports):
        super().__init__(daemon=True)
        self.process = process
        self.ports = set(ports)
        self.peak_descriptors = 0
        self.peak_bytes = 0
        self.stopping = threading.Event()

    def resident_bytes(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as rows:
            for row in rows:
                if row.startswith("VmRSS:"):
                    return int(row.split()[1]) * 1024
        return 0

    def sample(self):
        try:
            descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            held = self.resident_bytes() + unread_bytes(self.ports)
        except OSError:
            return
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        self.peak_bytes = max(self.peak_bytes, held)

    def run(self):
        while not self.stopping.wait(WATCH_INTERVAL_S):
            self.sample()

    def stop(self):
        self.stopping.set()
        self.join()
        self.sample()


class Deployment:
    """The processes of one test. `target` is the process that the crowd is let
    loose on; `ports` are the ports of its listeners, by name."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="hostile-")
        self.processes = []
        self.ports = {}
        self.store = free_port()
        self.endpoint = None

    def launch(self, name, command, limited=False):
        log = open(os.path.join(self.folder, name + ".log"), "wb")
        process = subprocess.Popen(
            command,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            cwd=ROOT,
            preexec_fn=limit_descriptors if limited else None,
        )
        log.close()
        self.processes.append(process)
        return process

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def start_store(self, *preload):
        command = [STANDIN, "platform", "-a", address_of(self.store)]
        for it in preload:
            command += ["--preload", it]
        self.launch("store", command)
        wait_for(lambda: can_connect(self.store))

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        put = {"key": key, "lease": 0}
        put["value"] = base64.b64encode(value).decode()
        body = json.dumps({"expect_rev": [], "puts": [put], "remove": []}).encode()
        url = f"http://{address_of(self.store)}/ospreyspur/kv-txn"
        with urllib.request.urlopen(url, data=body, timeout=START_LIMIT_S):
            pass

    def close(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        if self.endpoint:
            self.endpoint.close()


def can_connect(port):
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            return True
    except OSError:
        return False


def wait_for(condition):
    end = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("the deployment does not start")


def get(port, path, headers=(), timeout=5):
    """One ordinary request; None without a complete response."""
    lines = [f"GET {path} HTTP/1.1", "Host: h", "Connection: close", *headers]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode()
    answer = b""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=timeout) as it:
            it.sendall(data)
            while part := it.recv(65536):
                answer += part
    except OSError:
        return None
    return answer if answer.startswith(b"HTTP/1.1 200") else None


class DirectDeployment(Deployment):
    """An entry of the direct path, with one endpoint."""

    def __init__(self):
        super().__init__()
        self.start_store()
        self.endpoint = Endpoint()
        route = {
            "name": "r", "host": "h", "prefix": "/", "kind": "safe",
            "timeout_ms": 8000, "slo_ms": 400, "priority": 1, "service": "s",
            "attempts": 2, "public": True,
        }
        events = dict(route, name="e", prefix="/events/", kind="stream",
                      resumable=True, itl_target_ms=120)
        self.put("op/config", {
            "version": 1,
            "routes": [route, events],
            "services": [{"name": "s", "health_path": "/health",
                          "max_conns": 400, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": MAX_HEADER_BYTES,
                       "max_body_bytes": MAX_BODY_BYTES,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })
        self.put("servers/" + self.endpoint.name, {
            "service": "s", "address": address_of(self.endpoint.port),
            "zone": "a", "version": "v1", "slots": 64, "state": "ready",
            "cold_left_ms": 0, "seq": 1,
        })
        ports = {it: free_port() for it in ("callers", "ready", "metrics", "link")}
        ports["reports"] = free_port(socket.SOCK_DGRAM)
        settings = self.write("direct.ini", f"""[process]
data_centre = a
platform = {address_of(self.store)}
metrics_listen = {address_of(ports["metrics"])}
{machine_settings()}[direct]
name = n1
listen = {address_of(ports["callers"])}
ready_listen = {address_of(ports["ready"])}
link_listen = {address_of(ports["link"])}
peer_ports = {ports["reports"]},{ports["reports"] + 1}
""")
        self.ports = ports
        command = [PROGRAM, "direct", "--settings", settings]
        self.target = self.launch("direct", command, limited=True)
        wait_for(lambda: self.ask() is not None)

    def ask(self):
        return get(self.ports["callers"], "/plain", ["Request-Id: ordinary"])


class RankDeployment(Deployment):
    """An agent beside a rank; the rank belongs to no group."""

    def __init__(self):
        super().__init__()
        self.start_store()
        self.endpoint = Endpoint()
        ports = {it: free_port() for it in ("metrics", "link")}
        settings = self.write("rank.ini", f"""[process]
platform = {address_of(self.store)}
metrics_listen = {address_of(ports["metrics"])}
{machine_settings()}[rank]
name = side-1
host = 127.0.0.1
peer_ports = {ports["link"]},{ports["link"] + 1}
endpoint = {address_of(self.endpoint.port)}
service = s
""")
        self.ports = ports
        command = [PROGRAM, "rank", "--settings", settings]
        self.target = self.launch("rank", command, limited=True)
        wait_for(lambda: self.ask() is not None)

    def ask(self):
        return get(self.ports["metrics"], "/metrics")


class AgentPath(Deployment):
    """An entry, an agent and a plain service, for the path through agents."""

    def __init__(self, target, agent_settings="", process_settings=""):
        super().__init__()
        ports = {it: free_port() for it in ("callers", "entry-admin", "admin", "link")}
        self.endpoint = Endpoint()
        config = {
            "workspaces": {"riders": {"key_sha256": digest(KEY), "weight": 2,
                                      "labels": {}}},
            "services": {"fleet": {"kind": "plain"}}, "events": {},
        }
        hosts = [{"endpoint": "fleet-1", "service": "fleet", "data_centre": "a",
                  "agent": address_of(ports["link"]), "group": ""}]
        self.start_store(
            "ospreyspur/config=" + self.write("config.json", json.dumps(config)),
            "platform/hosts=" + self.write("hosts.json", json.dumps(hosts)))
        limits = machine_settings() + process_settings
        agent = self.write("agent.ini", f"""[process]
data_centre = a
platform = {address_of(self.store)}
admin_listen = {address_of(ports["admin"])}
{limits}[agent]
endpoint_name = fleet-1
listen = {address_of(ports["link"])}
endpoint = {address_of(self.endpoint.port)}
{agent_settings}""")
        entry = self.write("entry.ini", f"""[process]
data_centre = a
platform = {address_of(self.store)}
admin_listen = {address_of(ports["entry-admin"])}
{limits}[entry]
listen = {address_of(ports["callers"])}
probe_timeout_ms = 1000
""")
        roles = {}
        for role, path in (("agent", agent), ("entry", entry)):
            command = [PROGRAM, role, "--settings", path]
            roles[role] = self.launch(role, command, limited=True)
        self.target = roles[target]
        self.ports = {"link": ports["link"], "admin": ports["admin"]}
        if target == "entry":
            self.ports = {"callers": ports["callers"], "admin": ports["entry-admin"]}
        self.callers = ports["callers"]
        wait_for(lambda: self.ask() is not None)

    def ask(self):
        return get(self.callers, "/services/fleet/docks",
                   [f"Authorization: Bearer {KEY}"])


class EntryDeployment(AgentPath):
    def __init__(self, **options):
        super().__init__("entry", **options)


class AgentDeployment(AgentPath):
    def __init__(self):
        super().__init__("agent")
