"""Case 7: the store falls silent for a moment as it takes a desired state."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import *  # noqa: E402,F403

ENTRIES = 3  # one zone of the site, with its spare machine
CONTACT_S, APPLY_S = 3.0, 2.0  # bounds contact_ms and config_apply_ms
SILENT_S = 0.1
GAP_S = 0.1  # as the site plays revoke


class SilentStore(Store):
    """Gives no answer while it is silent. A connection on which an answer was
    lost says nothing further; the calls on it are carried out."""

    silent_until = 0.0
    lost = 0

    async def serve(self, reader, writer):
        try:
            is_dead = False
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
                if now() < self.silent_until and not is_dead:
                    is_dead = True
                    self.lost += 1
                if is_dead:
                    continue
                writer.write(response(status, json.dumps(body).encode(),
                                      {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def config(version, service, keys):
    return {"version": version, "routes": [{
        "name": "r", "host": "app.example", "prefix": "/app/", "kind": "unsafe",
        "timeout_ms": 2000, "slo_ms": 300, "priority": 1, "attempts": 1,
        "service": service, "public": False}],
        "services": [{"name": it, "health_path": "/health", "max_conns": 110,
                      "protocol": "h1", "tls": False} for it in ("one", "two")],
        "tenants": [{"name": "t", "api_keys": keys}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def main():
    record = Record(HERE)
    store = SilentStore()
    await store.start()
    programs = Programs()
    requests = []  # (sent, entry, key, status, id)

    async def ask(number, address, key):
        rid = "q%d" % len(requests)
        mine = [now(), number, key, "none", rid]
        requests.append(mine)
        try:
            answer = await asyncio.wait_for(call(
                address, "POST /app/x HTTP/1.1\r\nHost: app.example\r\n"
                "Request-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer "
                "%s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
                % (rid, key)), 5)
            mine[3] = answer.start.split(" ")[1] if answer else "closed"
        except (OSError, asyncio.TimeoutError) as error:
            mine[3] = type(error).__name__

    try:
        store.put("op/config", config(7, "one", ["kept", "taken"]))
        replicas = [Replica(store, "i-" + it, it, slots=20, work=0.01)
                    for it in ("one", "two")]
        for it in replicas:
            await it.start()
            it.list()
        base = free_range(40)
        ips = [free_net() + str(1 + i) for i in range(ENTRIES)]
        seeds = ["%s:%d" % (ip, base + 2) for ip in ips[:3]]
        fields = [front_fields("front-%d" % i, ip, base, store, seeds)
                  for i, ip in enumerate(ips)]
        for it in fields:
            await programs.start(it["node"], "entry", it)
        if not await wait_ready([it["listen.ready"] for it in fields]):
            record.say("the entries did not become ready")
            return 2
        await asyncio.sleep(8)
        tasks = []
        # The first of two desired states in quick succession.
        record("store took version 9", store.put(
            "op/config", config(9, "one", ["kept", "taken"])))
        await asyncio.sleep(GAP_S)
        # The second moves the route to another service and takes a key away.
        acknowledged = store.put("op/config", config(12, "two", ["kept"]))
        record("store took version 12 and has acknowledged it")
        if TROUBLE:
            store.silent_until = now() + SILENT_S
            record("the store is silent for %.1f s" % SILENT_S)
        stable = now() + (SILENT_S if TROUBLE else 0)
        end = now() + 7
        while now() < end:
            for i, it in enumerate(fields):
                for key in ("kept", "taken"):
                    tasks.append(asyncio.ensure_future(
                        ask(i, it["listen.front"], key)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        ran = {rid: it.service for it in replicas for _, rid in it.arrivals}
        stale = []
        with_key = 0
        for sent, number, key, status, rid in requests:
            is_old = ran.get(rid) == "one" or (key == "taken" and rid in ran)
            bound = max(acknowledged + APPLY_S, stable + CONTACT_S)
            if is_old:
                record("request", rid, "sent %.3f s after the acknowledgement"
                       % (sent - acknowledged), "to front-%d," % number,
                       "key", key + ", ran at service", ran[rid] +
                       ", client got", status,
                       "(too late)" if sent > bound else "")
            # The page does not explain `revoke_ms`, so only the route counts.
            if is_old and sent > bound and key == "kept":
                stale.append((sent - acknowledged, number))
            if is_old and sent > bound and key == "taken":
                with_key += 1
        record.say("answers of the store that were lost:", store.lost)
        record.say("requests sent to machines in touch later than 2 s after the"
                   " acknowledgement that ran as only older versions allow: %d,"
                   " the latest %.3f s" % (len(stale),
                                           max(stale)[0] if stale else 0))
        record.say("not counted, beside these, with the key that was taken"
                   " away: %d" % with_key)
        for name in programs.running:
            for line in programs.log(name).splitlines():
                if "config.in_force" in line or "call_lost" in line:
                    record(name, line[:180])
        if not any(it[3] == "200" for it in requests):
            return 2
        return 1 if stale else 0
    finally:
        await programs.stop()


run_case(main)
