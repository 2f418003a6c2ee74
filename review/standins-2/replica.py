"""A model replica as a process of its own, which a case may kill.

Its streams carry no length: each ends when its connection ends. It prints its port, and then a line
for each request that it runs. Usage: replica.py ID EVENT_MS
"""

import asyncio
import sys

import lab


async def main():
    name, event_s = sys.argv[1], int(sys.argv[2]) / 1000

    async def handle(line, headers, body, writer):
        _, target, _ = line.split(" ")
        if target == "/healthz":
            return lab.response(200, [("Badgerfield-Instance-Id", name)])
        if headers.get("badgerfield-expect-instance", name) != name:
            return lab.response(421, [("Badgerfield-Instance-Id", name)])
        attempt = headers.get("badgerfield-attempt-id", "")
        print(f"runs {attempt} {line}", flush=True)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close"]
        head += [f"Badgerfield-Attempt-Id: {attempt}", f"Badgerfield-Server-Seal: seal.{name}"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        events = int(headers.get("badgerfield-token-count", "0,50").split(",")[1]) // 5
        for number in range(1, events + 1):
            await asyncio.sleep(event_s)
            writer.write(f"id: {number}\ndata: {attempt}.{number}\n\n".encode())
            await writer.drain()
        return None

    _, port = await lab.serve_http(handle)
    print(port, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
