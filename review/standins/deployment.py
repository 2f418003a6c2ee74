"""A small deployment on loopback: the store, replicas, routers and clients of a review case.

The routers are the project's own program, started with the command of the deploy file and with
settings filled from its template. Everything else here is a stand-in that does what the users'
pages say. A case imports this module, starts a `Site`, and ends with `Site.stop`.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "site.example"
KEY = "key-1"


def free_ports(count, address="127.0.0.1"):
    """Returns ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((address, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader):
    """Reads the head of an HTTP message: its first line and its headers, with lower-case names."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the parts of a chunked body; fails if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's metadata store, in the process of the case."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.calls = {}
        self.is_open = None
        self.server = None

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.write(key, data)
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        async with self.changed:
            self.remove(key)
            self.changed.notify_all()

    def write(self, key, data):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"PrivateKey": key, "Value": base64.b64encode(data).decode(),
                "Revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"PrivateKey": key, "Revision": self.revision, "gone": True})

    def go_down(self):
        """From now on calls get no answer, until `come_back`."""
        self.is_open = asyncio.Event()

    def come_back(self):
        self.is_open.set()
        self.is_open = None

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                if self.is_open is not None:
                    await self.is_open.wait()
                status, answer = await self.answer(method, path, query, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        self.calls[path] = self.calls.get(path, 0) + 1
        if path == "/kv-key":
            item = self.items.get(query["PrivateKey"])
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["PathPrefix"]) and k > query.get("After", ""))
            entries = [self.items[k] for k in keys[:500]]
            return 200, {"Entries": entries, "more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["After"]), query["PathPrefix"]

        def events():
            return [e for e in self.history
                    if e["Revision"] > after and e["PrivateKey"].startswith(prefix)]
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: bool(events())),
                                       int(query["WaitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "at": self.revision}

    async def transact(self, call):
        async with self.changed:
            found = []
            for row in call.get("ExpectedRevision", []):
                item = self.items.get(row["PrivateKey"])
                if (item["Revision"] if item else 0) != row["Revision"]:
                    found.append(row["PrivateKey"])
            if found:
                keys = [row["PrivateKey"] for row in call["ExpectedRevision"]]
                return 412, {"Entries": [self.items[k] for k in keys if k in self.items]}
            for row in call.get("put", []):
                self.write(row["PrivateKey"], base64.b64decode(row["Value"]))
            for key in call.get("Delete", []):
                self.remove(key)
            self.changed.notify_all()
            return 200, {"Revision": self.revision}


def config(version=1, routes=None, services=None, prepaid=50_000_000, keys=(KEY,)):
    """A valid configuration of the operator."""
    def route(name, kind, service, attempts=1, resume=False, timeout=15000):
        made = {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "RouteType": kind,
                "TimeoutMs": timeout, "SloMs": 800, "Priority": 1, "Service": service,
                "MaxAttempts": attempts, "Anonymous": False,
                "SessionAffinity": kind == "streaming", "StreamResume": resume}
        if kind == "streaming":
            made["GapTargetMs"] = 400
        return made
    routes = routes or [
        route("resumed", "streaming", "pool", 2, True), route("single", "streaming", "pool"),
        route("once", "unsafe", "app", 1, timeout=4000), route("safe", "safe", "app", 2, timeout=4000),
    ]
    services = services or [
        {"Name": "pool", "HealthPath": "/healthz", "MaxConnections": 360,
         "Engine": {"Slots": 64, "KvCapacity": 562615, "KvBytes": 18432, "Moves": True, "Stride": 5}},
        {"Name": "app", "HealthPath": "/healthz", "MaxConnections": 96},
    ]
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "tenant", "ApiKeys": list(keys), "Priority": 1, "Prepaid": prepaid}],
    }


def fill(template, values):
    """Fills the template of settings as DEPLOY.md says, as far as the project's one needs it."""
    def look_up(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return "true" if value is True else "false" if value is False else str(value)

    def block(match):
        inner = match.group(2)
        return "".join(inner.replace("{{@}}", str(k)).replace("{{.}}", str(v))
                       for k, v in values[match.group(1)].items())
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", block, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: look_up(m.group(1)), text)


class Router:
    """One process of the system, as the platform starts it."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        # A loopback address of its own; the ports are alike on all machines.
        site.router_count += 1
        self.ip = f"127.77.{os.getpid() % 250 + 1}.{site.router_count}"
        self.process = None

    def address(self, listener):
        return self.ip, self.site.ports[listener]

    def start(self, store_port=None):
        site = self.site
        values = {
            "NodeName": self.name, "Region": "accra", "Zone": self.zone, "Ip": self.ip,
            "PortRange": [site.ports["Peers"], site.ports["Peers"] + 1],
            "Zones": {"accra-a": "accra", "accra-b": "accra", "accra-c": "accra"},
            "ListenersMap": {k: f"{self.ip}:{site.ports[k]}" for k in ("Front", "Ready", "Directory")},
            "Limits": {"LinkMbps": 1000.0, "MemoryMb": 260},
            "Bounds": {**BOUNDS, **site.bounds},
            "Platform": {"Address": f"127.0.0.1:{store_port or site.store_port}"},
        }
        with open(os.path.join(ROOT, "deploy/settings.ini")) as file:
            text = fill(file.read(), values)
        path = os.path.join(site.folder, self.name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/release/badgerfield"), "run"], cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL, env={**os.environ, "BADGERFIELD_SETTINGS": path})
        site.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.address("Ready"), "GET", "/readyz", {"Host": "x"}), 1)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False


# The bounds of the users' site Parcelview. A case may add those of another site.
BOUNDS = {
    "GraceS": 8, "DrainMs": 2000, "ConfigApplyMs": 2000, "RetryBudgetRatio": 0.2,
    "RetryAllowance": 52, "BudgetWindowS": 10,
}


class Replica:
    """A replica in a process of its own (`replica.py`), with its entry in the store."""

    def __init__(self, site, name, service, zone, slots, version="v1", fails_each=0, cold_s=0.0,
                 cold_bound=0.0):
        self.site, self.name = site, name
        self.traits = [fails_each, cold_s, cold_bound]
        self.port = free_ports(1)[0]
        self.entry = {"Service": service, "Address": f"127.0.0.1:{self.port}", "Zone": zone,
                      "Version": version, "Slots": slots, "State": "ready", "ColdRemainingMs": 0,
                      "Sequence": 1, "born": int(time.time() * 1000)}
        self.process = None
        self.cold_until = 0.0
        self.log_path = os.path.join(site.folder, name + ".jsonl")
        self.beats = None

    async def start(self):
        self.spawn()
        self.beats = asyncio.ensure_future(self.beat())

    def spawn(self):
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "replica.py")
        err = open(os.path.join(self.site.folder, self.name + ".err"), "ab")
        self.process = subprocess.Popen(
            [sys.executable, program, self.name, str(self.port), self.log_path,
             *map(str, self.traits)],
            stdin=subprocess.DEVNULL, stdout=err, stderr=err)
        self.site.processes.append(self.process)

    async def beat(self):
        """Writes the entry about every 1.2 s, and removes it after three heartbeats of silence.

        While the store is down, nothing lapses."""
        silent = 0
        while silent < 3:
            if self.process.poll() is None:
                silent = 0
                cold_ms = max(0, int((self.cold_until - time.time()) * 1000))
                self.entry["ColdRemainingMs"] = cold_ms
                # While the store is down, nothing can be written.
                if self.site.store.is_open is None:
                    await self.site.store.put("servers/" + self.name, self.entry)
                    self.entry["Sequence"] += 1
            elif self.site.store.is_open is None:
                silent += 1
            await asyncio.sleep(1.2)
        await self.site.store.delete("servers/" + self.name)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def start_again(self, cold_s=0.0):
        """Starts it again under the id and at the address that it had, cold for so long."""
        self.entry["born"] = int(time.time() * 1000)
        self.entry["Sequence"] = 1
        self.cold_until = time.time() + cold_s
        self.spawn()

    async def turn_cold(self, cold_s):
        """Becomes cold, says so in its health answers, and writes its entry if the store is up."""
        self.cold_until = time.time() + cold_s
        self.process.send_signal(signal.SIGUSR1)
        self.entry["ColdRemainingMs"] = int(cold_s * 1000)
        if self.site.store.is_open is None:
            await self.site.store.put("servers/" + self.name, self.entry)
            self.entry["Sequence"] += 1

    def runs(self):
        """Returns what the replica says that it has run."""
        if not os.path.exists(self.log_path):
            return []
        with open(self.log_path) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]


class Site:
    """The whole deployment, and the record of the case."""

    def __init__(self, record):
        self.bounds = {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.router_count = 0
        self.store = None
        self.routers, self.replicas = [], []
        self.record_file = open(record, "w")
        self.began = time.monotonic()
        self.serial = 0

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    async def start(self, routers=3, engines=4, apps=2, configuration=None, cold=(0.0, 0.0)):
        self.store = Store()
        ports = free_ports(5)
        while ports[4] + 1 in ports:
            ports = free_ports(5)
        self.store_port, front, ready, directory, peers = ports
        self.ports = {"Front": front, "Ready": ready, "Directory": directory, "Peers": peers}
        await self.store.start(self.store_port)
        await self.store.put("op/config", configuration or config())
        zones = ["accra-a", "accra-b", "accra-c"]
        for number in range(engines):
            self.replicas.append(Replica(self, f"engine-{number + 1}", "pool", zones[number % 3], 64))
        for number in range(apps):
            self.replicas.append(Replica(self, f"app-{number + 1}", "app", zones[number % 3], 48,
                                         cold_s=cold[0], cold_bound=cold[1]))
        for replica in self.replicas:
            await replica.start()
        for number in range(routers):
            self.routers.append(Router(self, f"edge-{number + 1}", zones[number % 3]))
            self.routers[-1].start()
        await self.wait_ready(self.routers)
        # Traffic starts 10 s after the machines do on the users' site.
        await asyncio.sleep(float(os.environ.get("LEAD_S", "8")))

    async def wait_ready(self, routers, limit=20):
        deadline = time.monotonic() + limit
        for router in routers:
            while not await router.is_ready():
                if time.monotonic() > deadline:
                    raise SetupFailed(f"{router.name} is not ready")
                await asyncio.sleep(0.1)

    def replica(self, name):
        return next(one for one in self.replicas if one.name == name)

    def router_lines(self, text):
        """Returns the lines of the routers' logs that contain a text, each with its router."""
        found = []
        for router in self.routers:
            with open(os.path.join(self.folder, router.name + ".log"), errors="replace") as file:
                found += [f"{router.name}: {line.strip()}" for line in file if text in line]
        return found

    def new_id(self):
        self.serial += 1
        return f"{os.getpid():08x}{self.serial:08x}"

    def headers(self, attempt, deadline_ms, tokens=None, key=KEY):
        made = {"Host": HOST, "Badgerfield-Attempt-Id": attempt,
                "Badgerfield-Deadline-Ms": str(deadline_ms), "Authorization": f"Token {key}"}
        if tokens:
            made["Badgerfield-Model"] = "m"
            made["Badgerfield-Token-Count"] = f"{tokens[0]},{tokens[1]}"
            made["Badgerfield-Prompt-Prefix"] = f"{self.serial + 4096:x}:{tokens[0]}"
        return made

    def stop(self):
        # Connections that end now are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for replica in self.replicas:
            if replica.beats:
                replica.beats.cancel()
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            process.wait()
        self.record_file.close()


class SetupFailed(Exception):
    """The case could not run."""


async def call(address, method, path, headers, body=b""):
    """Sends a request on a new connection; returns the status, the headers and the body."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
    try:
        await send_request(writer, method, path, headers, body)
        first, answered = await read_head(reader)
        return int(first.split(" ")[1]), answered, await read_body(reader, answered)
    finally:
        writer.close()


async def send_request(writer, method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()


def main(case, record):
    """Runs a case: an async function of a site and of whether there is trouble, which returns
    whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(record)
        site.record(f"trouble={trouble}")
        code = NOT_RUN
        try:
            held = await asyncio.wait_for(case(site, trouble), 110)
            site.record("the rule held" if held else "THE RULE WAS BROKEN")
            code = HELD if held else BROKEN
        except Exception as error:  # pylint: disable=broad-except
            site.record(f"the case could not run: {error!r}")
        finally:
            site.stop()
            # All processes have ended; connections and tasks of this one need no end of their own.
            sys.stdout.flush()
            os._exit(code)
    asyncio.run(run())
