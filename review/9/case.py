"""Replicas forget connections that have rested: do the answers of sound replicas still arrive?"""

import asyncio
import pathlib
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import lab  # noqa: E402

REPLICAS, USERS, EVENTS, EVENT_S = 6, 24, 32, 0.06
# `idle_race`: so long must a connection rest to be forgotten, by half of the replicas.
REST_S, FORGETFUL = 0.3, REPLICAS // 2
SECONDS = 30.0
# "More than three times".
ALLOWED = 3


class Replica(lab.Replica):
    """A sound replica whose streams carry no length, so that they end with their connection."""

    is_forgetful = False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.task = asyncio.create_task(self._beats())

    async def _serve(self, reader, writer):
        try:
            while True:
                rested_since = lab.now()
                head = await lab.read_head(reader)
                if head is None:
                    break
                if self.is_forgetful and lab.now() - rested_since > REST_S:
                    # It has forgotten the connection: what is sent on it is reset.
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    writer.transport.abort()
                    return
                line, headers = head
                await lab.read_body(reader, headers)
                answer = await self._answer(line, headers, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, headers, writer):
        if line.split(" ")[1] == "/healthz":
            return lab.response(200, [("Badgerfield-Instance-Id", self.id)])
        if headers.get("badgerfield-expect-instance", self.id) != self.id:
            return lab.response(421, [("Badgerfield-Instance-Id", self.id)])
        attempt = headers.get("badgerfield-attempt-id", "")
        self.record.line(f"{self.id} runs {attempt} {line}")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close"]
        head += [f"Badgerfield-Attempt-Id: {attempt}", f"Badgerfield-Server-Seal: seal.{self.id}"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            writer.write(f"id: {number}\ndata: {attempt}.{number}\n\n".encode())
            await writer.drain()
        self.record.line(f"{self.id} has written all of {attempt}")
        return None


async def user(router, record, stop, ended):
    """A user with a kept connection, who asks for one stream after the other."""
    reader = writer = None
    while not stop.is_set():
        attempt = lab.next_attempt()
        more = ["Badgerfield-Model: m", f"Badgerfield-Token-Count: 628,{EVENTS * 9}"]
        request = lab.plain_request(attempt, "/ruling/x", "POST", b"judge", 10000, more=more)
        status, body, outcome, seal = "none", b"", "closed", "-"
        try:
            async with asyncio.timeout(10.0):
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
                writer.write(request)
                head = await lab.read_head(reader)
                if head:
                    status, seal = head[0].split(" ")[1], head[1].get("badgerfield-server-seal", "-")
                    if head[1].get("transfer-encoding", "").lower() == "chunked":
                        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                            body += (await reader.readexactly(size + 2))[:-2]
                        await reader.readuntil(b"\r\n")
                    else:
                        body = await reader.readexactly(int(head[1].get("content-length", "0")))
                    outcome = "answered"
        except TimeoutError:
            outcome = "late"
        except (OSError, asyncio.IncompleteReadError):
            pass
        events = body.count(b"\n\n") if status == "200" else 0
        record.line(f"{attempt}: {status} {seal}, {events} of {EVENTS} events, {outcome}")
        ended.append((status, events, outcome))
        if outcome != "answered":
            if writer is not None:
                writer.close()
            reader = writer = None
        await asyncio.sleep(0.5)


async def case(record, folder, routers, trouble):
    store = lab.Store()
    await store.start()
    config = lab.config()
    ruling = {"Name": "ruling", "PathPrefix": "/ruling/", "StreamResume": False, "MaxAttempts": 1}
    config["Routes"].append({**config["Routes"][0], **ruling})
    await store.put("op/config", config)
    for number in range(2):
        await lab.Replica(store, record, "app", number).start()
    replicas = [Replica(store, record, "pool", n) for n in range(REPLICAS)]
    for replica in replicas:
        replica.is_forgetful = trouble and replica in replicas[:FORGETFUL]
        await replica.start()
    routers.append(lab.Router(folder, store, 1, record))
    routers[0].start()
    if not await routers[0].wait_ready():
        record.say("the machine did not become ready")
        return 2
    stop, ended = asyncio.Event(), []
    users = []
    for _ in range(USERS):
        users.append(asyncio.create_task(user(routers[0], record, stop, ended)))
        await asyncio.sleep(0.17)
    await asyncio.sleep(SECONDS)
    stop.set()
    await asyncio.gather(*users)
    cut = sum(1 for status, _, outcome in ended if status in ("200", "none") and outcome == "closed")
    whole = sum(1 for _, events, outcome in ended if outcome == "answered" and events == EVENTS)
    record.say(
        f"{len(ended)} streams, {whole} whole; of {cut} the connection was closed without a whole"
        f" answer, though no replica broke one off"
    )
    if cut > ALLOWED:
        record.say("broken: LOST")
        return 1
    return 0


lab.run_case(HERE, case)
