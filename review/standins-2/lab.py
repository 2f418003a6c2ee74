"""Stand-ins for the platform, the replicas and the clients, and a way to start the routers.

Used by the cases in review/6 and later. Python's standard library only. All addresses are loopback
addresses, all ports are free ones, and every process that is started is ended by its id.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        print(f"{now():8.3f} {text}", flush=True)
        self.line(text)


# --- HTTP -----------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head. Returns its first line and headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=(), body=b""):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


async def serve_http(handler, host="127.0.0.1", port=0, backlog=1024):
    """Serves HTTP/1.1 with kept connections. `handler(line, headers, body, writer)` returns bytes."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                answer = await handler(line, headers, body, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has left, or the script ends.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, backlog=backlog, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


# --- the platform's store -------------------------------------------------------------------


class Store:
    """The platform's metadata store, without faults."""

    def __init__(self):
        self.items = {}  # key -> (value, revision, made)
        self.events = []  # (revision, key)
        self.revision = 1
        self.changed = asyncio.Condition()

    async def start(self):
        self.server, self.port = await serve_http(self.handle)

    async def put(self, key, value):
        async with self.changed:
            self._write(key, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    async def delete(self, key):
        async with self.changed:
            self._write(key, None)
            self.changed.notify_all()

    def value(self, key):
        """Returns the value of an item that is JSON, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item[0])) if item else None

    def _write(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            made = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, made)
        self.events.append((self.revision, key))

    def _item(self, key):
        if key not in self.items:
            return None
        value, revision, made = self.items[key]
        return {"PrivateKey": key, "Value": value, "Revision": revision, "made": made, "lease": 0}

    async def handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))

        def answer(status, value):
            kind = [("Content-Type", "application/json")]
            return response(status, kind, json.dumps(value).encode())

        if url.path == "/kv-key":
            item = self._item(query["PrivateKey"])
            at = {"at": self.revision}
            return answer(200, {**item, **at}) if item else answer(404, at)
        if url.path == "/kv-range":
            prefix, after = query["PathPrefix"], query.get("After", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self._item(k) for k in keys[:500]]
            more = len(keys) > 500
            return answer(200, {"Entries": page, "more": more, "at": self.revision})
        if url.path == "/kv-watch":
            return answer(200, await self._watch(query))
        if url.path == "/kv-txn":
            return await self._transact(json.loads(body), answer)
        return answer(404, {})

    async def _watch(self, query):
        prefix, after = query["PathPrefix"], int(query["After"])
        until = time.monotonic() + min(int(query.get("WaitMs", "2000")), 30000) / 1000

        def found():
            return [(r, k) for r, k in self.events if r > after and k.startswith(prefix)]

        async with self.changed:
            while not found():
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            events = []
            for revision, key in found():
                item = self._item(key)
                if item and item["Revision"] == revision:
                    events.append(item)
                elif not item:
                    events.append({"PrivateKey": key, "Revision": revision, "gone": True})
            return {"events": events, "at": max(self.revision, after)}

    async def _transact(self, call, answer):
        async with self.changed:
            for row in call.get("ExpectedRevision", []):
                item = self._item(row["PrivateKey"])
                if (item["Revision"] if item else 0) != row["Revision"]:
                    rows = [self._item(r["PrivateKey"]) for r in call["ExpectedRevision"]]
                    return answer(412, {"Entries": [r for r in rows if r]})
            for entry in call.get("put", []):
                self._write(entry["PrivateKey"], entry["Value"])
            for key in call.get("Delete", []):
                self._write(key, None)
            self.changed.notify_all()
            return answer(200, {"Revision": self.revision})


# --- replicas -------------------------------------------------------------------------------


def entry_of(service, port, zone, version, slots, state):
    """Returns the entry of a replica in the store."""
    return {
        "Service": service,
        "Address": f"127.0.0.1:{port}",
        "Zone": zone,
        "Version": version,
        "Slots": slots,
        "State": state,
        "ColdRemainingMs": 0,
        "Phase": "unified",
        "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
    }


class Replica:
    """A sound replica. It answers plain requests, and streams on paths that hold `/stream/`."""

    def __init__(self, store, record, service, number, zone="zone-a", slots=64, version="v1"):
        self.store, self.record, self.service, self.version = store, record, service, version
        self.id, self.zone, self.slots = f"i-{service}-{number}", zone, slots
        self.state, self.sequence, self.work_s = "ready", 0, 0.005
        self.runs = []  # (time, attempt id, line)
        self.arrivals = []

    async def start(self):
        self.server, self.port = await serve_http(self.handle)
        await self.beat()
        self.task = asyncio.create_task(self._beats())

    async def beat(self):
        self.sequence += 1
        entry = entry_of(self.service, self.port, self.zone, self.version, self.slots, self.state)
        await self.store.put(f"servers/{self.id}", {**entry, "Sequence": self.sequence})

    async def stop(self):
        """Stops at once, as a replica that the platform stops does."""
        self.task.cancel()
        self.server.close()
        await self.store.delete(f"servers/{self.id}")

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if target == "/healthz":
            return response(200, [("Badgerfield-Instance-Id", self.id)])
        attempt = headers.get("badgerfield-attempt-id", "")
        self.arrivals.append((now(), attempt, line, headers, len(body)))
        if headers.get("badgerfield-expect-instance", self.id) != self.id:
            return response(421, [("Badgerfield-Instance-Id", self.id)])
        self.runs.append((now(), attempt, line))
        self.record.line(f"{self.id} runs {attempt} {line} body={len(body)}")
        mark = [("Badgerfield-Attempt-Id", attempt), ("Badgerfield-Server-Seal", f"seal.{self.id}")]
        if "/stream/" in target:
            events = int(headers.get("badgerfield-token-count", "0,50").split(",")[1]) // 5
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            head += ["Transfer-Encoding: chunked"] + [f"{n}: {v}" for n, v in mark]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, events + 1):
                await asyncio.sleep(self.work_s)
                event = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            return b"0\r\n\r\n"
        await asyncio.sleep(self.work_s)
        return response(200, mark, f"answer to {attempt} by {self.id}".encode())


class Path:
    """The way to a replica. Connections that are open may go silent for good, while new ones work."""

    def __init__(self, target_port):
        self.target_port, self.open, self.silent = target_port, set(), []

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Lets all open connections go silent: nothing more passes, and neither end is told."""
        count = len(self.open)
        for tasks, writers in self.open:
            for task in tasks:
                task.cancel()
            self.silent.append(writers)
        self.open.clear()
        return count

    def stop(self):
        """New connections are refused from now on, as at a replica that has ended."""
        self.server.close()

    async def _connection(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return

        async def pass_on(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.close()
            except OSError:
                sink.transport.abort()

        tasks = (
            asyncio.create_task(pass_on(reader, far_writer)),
            asyncio.create_task(pass_on(far_reader, writer)),
        )
        entry = (tasks, (writer, far_writer))
        self.open.add(entry)
        await asyncio.gather(*tasks, return_exceptions=True)
        self.open.discard(entry)


# --- configuration and routers ----------------------------------------------------------------


def config(version=1, prepaid=5_601_738, tenants=1):
    """Returns a configuration like that of a small deployment."""

    def route(name, kind, service, timeout, slo, **more):
        common = {
            "Name": name,
            "Host": "site.example",
            "PathPrefix": f"/{name}/",
            "RouteType": kind,
            "TimeoutMs": timeout,
            "SloMs": slo,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
            "Anonymous": False,
            "SessionAffinity": False,
            "StreamResume": False,
        }
        return {**common, **more}

    stream = {"SessionAffinity": True, "StreamResume": True, "GapTargetMs": 400}
    engine = {
        "Slots": 64,
        "KvCapacity": 562615,
        "KvBytes": 18432,
        "LinkMbps": 370000.0,
        "Moves": True,
        "Backups": True,
        "Stride": 5,
        "Models": [{"Name": "m"}],
    }
    pool = {"Name": "pool", "HealthPath": "/healthz", "MaxConnections": 360, "Engine": engine}
    app = {"Name": "app", "HealthPath": "/healthz", "MaxConnections": 360}
    return {
        "Version": version,
        "Routes": [
            route("stream", "streaming", "pool", 15000, 800, **stream),
            route("once", "unsafe", "app", 4000, 300),
            route("safe", "safe", "app", 4000, 300),
        ],
        "Services": [{**s, "Protocol": "h1", "Tls": False} for s in (pool, app)],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": f"tenant-{n}", "ApiKeys": [f"key-{n}"], "Priority": 1, "Prepaid": prepaid}
            for n in range(tenants)
        ],
    }


_given = set()


def free_ports(host, count):
    """Returns ports that are free for TCP and UDP at an address.

    They lie below the ports that the system gives to outgoing connections, so that none of those
    takes one while its process restarts.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(10_000, 32_000)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        if port not in ports and port not in _given:
            ports.append(port)
    _given.update(ports)
    return ports


def fill_template(text, fields):
    """Fills the project's template of the settings as the platform does."""

    def lookup(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def block(match):
        name, inner = match.group(1), match.group(2)
        value = lookup(name, fields)
        parts = []
        for key, entry in value.items() if isinstance(value, dict) else enumerate(value or []):
            parts.append(inner.replace("{{@}}", str(key)).replace("{{.}}", str(entry)))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", block, text, flags=re.S)

    def gap(match):
        value = lookup(match.group(1), fields)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


class Router:
    """A process of the deploy file's role, with the settings of a small machine."""

    def __init__(self, folder, store, number, record, zone="zone-a", memory_mb=260, fds=4200, bounds=None):
        self.record, self.number, self.fds, self.memory_mb = record, number, fds, memory_mb
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        self.command = role["run"].split()
        host = "127.0.0.1"
        front, ready, directory, first, last = free_ports(host, 5)
        self.front, self.ready, self.directory = front, ready, directory
        fields = {
            "NodeName": f"edge-{number}",
            "Ip": host,
            "Zone": zone,
            "Region": "region",
            "Zones": {"zone-a": "region", "zone-b": "region", "zone-c": "region"},
            "ListenersMap": {
                "Front": f"{host}:{front}",
                "Ready": f"{host}:{ready}",
                "Directory": f"{host}:{directory}",
            },
            "PortRange": [first, last],
            "Limits": {"MemoryMb": memory_mb, "LinkMbps": 1000.0, "FileDescriptors": fds},
            "Bounds": {
                "DrainMs": 2000,
                "GraceS": 8,
                "ConfigApplyMs": 2000,
                "RetryBudgetRatio": 0.2,
                "RetryAllowance": 52,
                "BudgetWindowS": 10,
                **(bounds or {}),
            },
            "Platform": {"Address": f"{host}:{store.port}"},
        }
        self.settings = pathlib.Path(folder) / f"edge-{number}.ini"
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(fill_template(template, fields))
        self.log = open(pathlib.Path(folder) / f"edge-{number}.log", "ab")
        self.process = None

    def start(self):
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["BADGERFIELD_SETTINGS"] = str(self.settings)

        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.fds, self.fds))

        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log, preexec_fn=limit
        )
        self.record.line(f"edge-{self.number} starts")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def rss_bytes(self):
        """Returns the resident memory, or 0 if the process has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match.group(1)) * 1024 if match else 0

    async def is_ready(self, timeout=1.0):
        """Asks whether it is ready, on a new connection, as the platform does."""
        answer = await ask("127.0.0.1", self.ready, b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n", timeout)
        return answer is not None and answer[0] == 200

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


# --- clients --------------------------------------------------------------------------------


async def ask(host, port, request, timeout):
    """Sends a request on a new connection. Returns the status, headers and body, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            line, headers = head
            body = await read_body(reader, headers)
            return int(line.split(" ")[1]), headers, body
    except (TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


_attempts = 0


def next_attempt():
    global _attempts
    _attempts += 1
    return f"{os.getpid():08x}{_attempts:08x}"


def plain_request(attempt, path, method="GET", body=b"", deadline_ms=4000, key="key-0", more=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"Badgerfield-Attempt-Id: {attempt}",
        f"Badgerfield-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
    ]
    lines += more
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# --- the run of a script --------------------------------------------------------------------


def run_case(folder, case, limit_s=115):
    """Runs a case, ends all processes that it has started, and exits with its status.

    The status is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="badgerfield-review-")
    routers = []

    async def main():
        status = 2
        try:
            record.say(f"trouble={int(trouble)}")
            async with asyncio.timeout(limit_s):
                status = await case(record, temporary, routers, trouble)
        except Exception as error:  # The case could not run, whatever the reason.
            record.say(f"could not run: {type(error).__name__}: {error}")
        finally:
            for router in routers:
                router.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(temporary, keep, dirs_exist_ok=True)
            shutil.rmtree(temporary, ignore_errors=True)
            sys.stdout.flush()
            # The stand-ins' open connections need no farewell.
            os._exit(status)

    # A script that is stopped ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    asyncio.run(main())
