"""A replica in a process of its own: `replica.py ID PORT LOG N COLD_S BOUND`.

Each N-th answer is a failure (0: none). After SIGUSR1 it is cold for COLD_S seconds, which its
health answers tell, and it falls over if more than BOUND requests come in a second meanwhile.

The body of a request says in JSON how the replica answers: `events` of a stream, `gap_s` between
them, `event_bytes` of each, `first_s` before the first, and `framed` (false: the answer carries no length and finishes
when its connection ends). A request without `events` gets a plain answer of `bytes` after `work_s`,
in `parts` with `gap_s` between. It writes a line to LOG for each request that it runs.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import time

from deployment import read_body, read_head

NAME, PORT, LOG = sys.argv[1], int(sys.argv[2]), sys.argv[3]
FAILS_EACH, COLD_S, COLD_BOUND = int(sys.argv[4]), float(sys.argv[5]), float(sys.argv[6])
RUNS = []
COLD = {"until": 0.0, "arrivals": []}


def log(**fields):
    with open(LOG, "a") as file:
        file.write(json.dumps({"replica": NAME, "at": time.time(), **fields}) + "\n")


def turn_cold():
    COLD["until"], COLD["arrivals"] = time.time() + COLD_S, []
    log(event="cold")


def count_cold():
    now = time.time()
    if now >= COLD["until"]:
        return
    COLD["arrivals"] = [at for at in COLD["arrivals"] if now - at < 1.0] + [now]
    if len(COLD["arrivals"]) > COLD_BOUND:
        log(event="fell over", arrivals=len(COLD["arrivals"]))
        os._exit(1)


def event(number, size=0):
    head = f"id: {number}\ndata: piece {number} "
    return (head + "x" * max(0, size - len(head) - 2) + "\n\n").encode()


def frame(data, framed):
    return b"%x\r\n%s\r\n" % (len(data), data) if framed else data


async def serve(reader, writer):
    try:
        while True:
            first, headers = await read_head(reader)
            method, target, _ = first.split(" ")
            body = await read_body(reader, headers)
            if target == "/healthz":
                cold_ms = max(0, int((COLD["until"] - time.time()) * 1000))
                writer.write(f"HTTP/1.1 200 OK\r\nBadgerfield-Instance-Id: {NAME}\r\n"
                             f"Badgerfield-Cold-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            attempt = headers.get("badgerfield-attempt-id", "-")
            expected = headers.get("badgerfield-expect-instance", NAME)
            if expected != NAME:
                writer.write(f"HTTP/1.1 421 X\r\nBadgerfield-Attempt-Id: {attempt}\r\n"
                             f"Badgerfield-Instance-Id: {NAME}\r\nBadgerfield-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n".encode())
                continue
            order = json.loads(body or b"{}")
            last = int(headers.get("last-event-id", 0))
            log(event="run", id=attempt, method=method, target=target, last=last,
                tenant=headers.get("badgerfield-tenant"),
                deadline=headers.get("badgerfield-deadline-ms"),
                body=hashlib.sha256(body).hexdigest()[:16])
            count_cold()
            RUNS.append(attempt)
            if FAILS_EACH and len(RUNS) % FAILS_EACH == 0:
                log(event="failed", id=attempt)
                writer.write(f"HTTP/1.1 500 X\r\nBadgerfield-Attempt-Id: {attempt}\r\n"
                             f"Badgerfield-Server-Seal: {NAME}.{attempt}\r\n"
                             "Content-Length: 0\r\n\r\n".encode())
                continue
            keep = await answer(writer, attempt, order, last)
            log(event="done", id=attempt)
            if not keep:
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def answer(writer, attempt, order, last):
    framed = order.get("framed", True)
    head = (f"HTTP/1.1 200 OK\r\nBadgerfield-Attempt-Id: {attempt}\r\n"
            f"Badgerfield-Server-Seal: {NAME}.{attempt}\r\n")
    if "events" not in order:
        await asyncio.sleep(order.get("work_s", 0.06))
        size = order.get("bytes", 800)
        data = (attempt.encode() * (size // len(attempt) + 1))[:size]
        length = f"Content-Length: {len(data)}\r\n" if framed else "Connection: close\r\n"
        writer.write((head + length + "\r\n").encode())
        parts = order.get("parts", 1)
        step = -(-len(data) // parts)
        for part in range(parts):
            if part:
                await asyncio.sleep(order.get("gap_s", 0.0))
            writer.write(data[part * step:(part + 1) * step])
            await writer.drain()
        return framed
    kind = "Content-Type: text/event-stream\r\n"
    length = "Transfer-Encoding: chunked\r\n" if framed else "Connection: close\r\n"
    await asyncio.sleep(order.get("first_s", 0.02))
    writer.write((head + kind + length + "\r\n").encode())
    for number in range(last + 1, order["events"] + 1):
        if number > last + 1:
            await asyncio.sleep(order.get("gap_s", 0.05))
        writer.write(frame(event(number, order.get("event_bytes", 0)), framed))
        await writer.drain()
        log(event="made", id=attempt, number=number)
    if framed:
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    return framed


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", PORT, limit=1 << 22)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, turn_cold)
    async with server:
        await server.serve_forever()


asyncio.run(main())
