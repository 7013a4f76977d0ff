"""A replica of a plain service, as a process of its own: replica.py PORT ID. Its
answers have no length and end with their connection; half of the body comes at
once, the rest 0.8 s later."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin  # noqa: E402

PORT, NAME = int(sys.argv[1]), sys.argv[2]


async def handle(request):
    label = request.headers.get("request-id", "")
    if request.headers.get("expect-replica") != NAME:
        return 421, {"Replica-Id": NAME}, b""
    print("runs", label, flush=True)
    request.writer.write(
        ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Stamp: %s\r\nConnection: close\r\n"
         "Content-Type: text/plain\r\n\r\nbegin %s\n" % (label, NAME, label)).encode() + b"x" * 400)
    await request.writer.drain()
    await asyncio.sleep(0.8)
    request.writer.write(b"y" * 400 + ("\nend %s\n" % label).encode())
    await request.writer.drain()
    print("answered", label, flush=True)
    raise standin.Done()


async def main():
    await standin.HttpServer(handle).listen(PORT)
    await asyncio.Event().wait()


asyncio.run(main())
