"""A group whose ranks do not check fences (require_fence false). An order without
an answer is carried out seconds later, after newer ones; the coordinator is killed
while its group is held. See claim.txt."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS, SETS, EXPERTS, PLACES, SPARE = 6, 3, 48, 11, 4
PASS_S = 0.06
EXPERT_MB, LINK_MBPS = 2200.0, 44000.0
SERVICE, GROUP = "cozinheiro", "g0"
# PROTOCOL.md: "An unanswered order may have been taken, or may be carried out
# seconds later, after newer ones"; `fleetbench kinds`: "2 to 12 s later".
LEAST_LATE_S, MOST_LATE_S = 2.0, 12.0
DOWN_S = 3.5
RUN_S = 75 if TROUBLE else 30


class Rank:
    def __init__(self, group, number):
        self.group, self.number = group, number
        self.map = 0
        self.content = None
        self.prepared = self.armed = self.held = None
        self.newest = 0
        self.maps = {}
        self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)
        # Arm orders without an answer: version, step, when they arrived.
        self.late = []

    def experts(self):
        if self.map:
            return [row[self.number] for row in self.maps[self.map]]
        return [[e for e in range(EXPERTS) if e % RANKS == self.number] for _ in range(SETS)]

    def report(self):
        armed = {"version": self.armed[0], "step": self.armed[1]} if self.armed else None
        return {"stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": self.seq, "queued": 0, "running": 4, "kv_used": 1000,
                "kv_total": 280000, "handles": 0, "pace": 1.0,
                "group": {"name": GROUP, "epoch": 1, "rank": self.number, "state": "open"},
                "size": RANKS, "step": self.group.step, "map": self.map,
                "prepared": self.prepared, "armed": armed, "held": self.held}

    async def handle(self, request):
        if request.path == "/ospreyspur/report":
            return standin.json_answer(200, self.report())
        if request.path == "/ospreyspur/picked" and "lists" in request.query:
            return standin.json_answer(200, {
                "map": {"version": self.map, "experts": self.experts()}, "prepared": None})
        if request.path == "/ospreyspur/picked":
            return standin.json_answer(
                200, {"step": self.group.step, "epoch": 1, "counts": self.counts})
        if request.path == "/ospreyspur/order":
            return self.take(request.json())
        return 404, {}, b""

    def take(self, order):
        if TROUBLE and self.must_delay(order):
            self.late.append((order["version"], order["step"], time.monotonic()))
            self.group.log(self, order, "no answer")
            raise standin.NoAnswer()
        status = self.perform(order)
        self.group.log(self, order, status)
        if order["op"] == "arm" and status == 202:
            self.group.on_armed(self)
        if order["op"] == "disarm":
            self.perform_late(order["version"])
        return standin.json_answer(status, {})

    def must_delay(self, order):
        """The first copy of an arm order; the next copy is answered."""
        if order["op"] != "arm" or self.group.killed_at is not None:
            return False
        return not any(it[:2] == (order["version"], order["step"]) for it in self.late)

    def perform_late(self, version=None):
        """Carries out late orders: of one version, or those that are due."""
        now = time.monotonic()
        kept = []
        for it in self.late:
            age = now - it[2]
            is_due = age >= MOST_LATE_S or (it[0] == version and age >= LEAST_LATE_S)
            if not is_due:
                kept.append(it)
                continue
            order = {"op": "arm", "version": it[0], "step": it[1], "epoch": 1}
            self.group.log(self, order, "%s, %.1f s late" % (self.perform(order), age))
        self.late = kept

    def perform(self, order):
        op, version, step = order["op"], order.get("version"), order.get("step")
        if order.get("epoch") != 1:
            return 409
        if op == "prepare":
            if version <= self.newest or self.armed:
                return 409
            old = self.experts()
            fresh = [len(set(row[self.number]) - set(old[i])) for i, row in enumerate(order["map"])]
            if max(fresh) > SPARE:
                return 409
            self.newest, self.prepared, self.seq = version, None, self.seq + 1
            self.maps[version] = order["map"]
            copying = sum(fresh) * EXPERT_MB * 8 / LINK_MBPS
            asyncio.get_running_loop().call_later(copying, self.end_copy, version)
            return 202
        if op == "arm":
            if self.armed == (version, step):
                return 200
            if self.prepared != version or step <= self.group.step:
                return 409
            self.armed, self.seq = (version, step), self.seq + 1
            return 202
        if op == "disarm":
            if version == self.map:
                return 409
            if self.armed and self.armed[0] == version:
                self.armed = None
            return 200
        if op == "hold":
            if self.held == step:
                return 200
            if self.held is not None or step <= self.group.step:
                return 409
            self.held = step
            return 202
        if op == "go":
            if self.held != step:
                return 409
            self.held = None
            return 200
        return 400

    def end_copy(self, version):
        if self.newest == version:
            self.prepared = version


class Group:
    """The ranks begin each pass together, unless one of them holds it."""

    def __init__(self, record):
        self.record = record
        self.step = 0
        self.ranks = [Rank(self, i) for i in range(RANKS)]
        self.changes = 0
        self.mixed = []
        self.killed_at = None
        self.kill = None
        self.armed_at = None

    def log(self, rank, order, result):
        self.record.write("rank %d %s version %s step %s (begun %d): %s" % (
            rank.number, order["op"], order.get("version"), order.get("step"), self.step, result))

    def on_armed(self, rank):
        """Kills the coordinator once half of the group's ranks are armed."""
        armed = sum(1 for it in self.ranks if it.armed)
        if TROUBLE and self.killed_at is None and self.changes > 0 and armed >= RANKS // 2:
            self.killed_at = time.monotonic()
            self.kill()

    def begin_pass(self):
        for it in self.ranks:
            it.perform_late()
        following = self.step + 1
        if any(it.held == following for it in self.ranks):
            return
        self.step = following
        for it in self.ranks:
            if it.armed and it.armed[1] == following:
                it.map, it.armed, it.prepared = it.armed[0], None, None
        versions = [it.map for it in self.ranks]
        if len(set(versions)) > 1:
            self.mixed.append(following)
            if len(self.mixed) == 1:
                self.record.write("MAP broken: pass %d begins with the maps %s" % (following, versions))
        elif versions[0] != getattr(self, "map", 0):
            self.changes += 1
            self.record.write("pass %d begins with map %d on all ranks" % (following, versions[0]))
        self.map = versions[0]

    def choose_experts(self, rng, elapsed):
        """The demand: a few experts are liked, others each 4 s."""
        liked = [(int(elapsed / 4) * 7 + i * RANKS) % EXPERTS for i in range(6)]
        for it in self.ranks:
            for place in range(SETS):
                for _ in range(40):
                    expert = rng.choice(liked) if rng.random() < 0.6 else rng.randrange(EXPERTS)
                    it.counts[place * EXPERTS + expert] += 1


def make_config():
    engine = {"slots": 12, "kv_capacity": 280000, "link_mbps": LINK_MBPS, "stride": 4,
              "step_ms": 4.55, "per_seq_ms": 0.905, "read_per_s": 61400.0, "chunk": 512,
              "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 97}, "sets": SETS,
              "experts": EXPERTS, "placements": PLACES, "spare": SPARE, "expert_mb": EXPERT_MB,
              "expert_share": 0.85, "form_ms": 600.0}
    return {"version": 1, "routes": [], "services": [
        {"name": SERVICE, "health_path": "/health", "max_conns": 408, "protocol": "h1",
         "tls": False, "engine": engine}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def main(record, children):
    rng = random.Random(int(os.environ.get("SEED", "1")))
    ports = standin.free_ports(1 + 2 * RANKS)
    store_port, rank_ports, agent_ports = ports[0], ports[1:1 + RANKS], ports[1 + RANKS:]
    store = standin.Store()
    store.write("op/config", make_config())
    await standin.HttpServer(store.handle).listen(store_port)
    group = Group(record)
    for rank, port in zip(group.ranks, rank_ports):
        await standin.HttpServer(rank.handle).listen(port)
        store.write("servers/i-%d" % rank.number, {
            "service": SERVICE, "address": "127.0.0.1:%d" % port, "zone": "recife-a",
            "version": "v1", "slots": 12, "state": "ready", "cold_left_ms": 0,
            "stage": "mixed", "seq": 1})

    def start_agent(number):
        children.start("side-%d" % number, "rank", """[process]
platform = 127.0.0.1:%d
[rank]
name = side-%d
host = 127.0.0.1
peer_ports = %d,%d
endpoint = 127.0.0.1:%d
service = %s
link_mbps = 20
checks_fences = false
""" % (store_port, number, agent_ports[number], agent_ports[number],
            rank_ports[number], SERVICE))

    loop = asyncio.get_running_loop()

    def kill_coordinator():
        holder = store.text_of("ospreyspur/groups/%s/%s" % (SERVICE, GROUP))
        number = agent_ports.index(int(holder.rsplit(":", 1)[1]))
        children.kill("side-%d" % number)
        loop.call_later(DOWN_S, start_agent, number)

    group.kill = kill_coordinator
    for i in range(RANKS):
        start_agent(i)
    begin = time.monotonic()
    while time.monotonic() - begin < RUN_S:
        await asyncio.sleep(PASS_S)
        group.choose_experts(rng, time.monotonic() - begin)
        group.begin_pass()
        if group.mixed:
            await asyncio.sleep(0.3)
            break
        is_over = group.killed_at is not None and time.monotonic() - group.killed_at > 20
        if is_over:
            # The change ended well; the next one is tried.
            group.killed_at = None
    record.write("%d passes, %d changes of map on all ranks, %d passes with two maps" % (
        group.step, group.changes, len(group.mixed)))
    if children.ended():
        record.write("ended by themselves: %s" % children.ended())
    if group.changes == 0 and not group.mixed:
        return 2
    return 1 if group.mixed else 0


standin.run_case(main, os.path.join(HERE, "record.txt"))
