"""A version that fails under load is ordered: is it kept to its share, and taken back?"""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import lab  # noqa: E402

# Of four users at each machine, three post to an unsafe route and one reads from a safe one. The
# site has 293 requests a second for 72 machines, four for each; here each has 3.3.
MACHINES, PATHS, RATE = 12, ("/once/post",) * 3 + ("/safe/read",), 40.0
DURATION_S, AFTER_S = 30.0, 10.0
EXPOSURE_SHARE, EXPOSURE_ALLOWANCE, ROLLBACK_S = 0.1, 50, 5.0
# How long a request may be on its way between a machine and a replica.
TRANSIT_S = 0.5
WORK_S = 0.06
# A replica of the bad version fails this share of its requests while it gets more than so many a
# second. Each of three gets 13 a second if it has all traffic, and one if it has a tenth.
FAILED_SHARE, LOAD_PER_S = 0.5, 6


class BadUnderLoad(lab.Replica):
    """A replica that answers a portion of its requests with a failure while it is under load."""

    failures = []

    async def handle(self, line, headers, body, writer):
        answer = await super().handle(line, headers, body, writer)
        last_second = [at for at, *_ in self.arrivals[-50:] if at > lab.now() - 1.0]
        is_request = not line.split(" ")[1].startswith("/healthz")
        if is_request and len(last_second) > LOAD_PER_S and random.random() < FAILED_SHARE:
            self.failures.append(lab.now())
            return answer.replace(b"HTTP/1.1 200 X", b"HTTP/1.1 500 X", 1)
        return answer


async def user(router, record, path, begin_s, counts, stop):
    """A user at one machine, with a kept connection."""
    await asyncio.sleep(begin_s)
    period = MACHINES * len(PATHS) / RATE
    method = "POST" if path.startswith("/once") else "GET"
    reader, writer = None, None
    while not stop.is_set():
        began = lab.now()
        attempt = lab.next_attempt()
        try:
            async with asyncio.timeout(4.0):
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
                writer.write(lab.plain_request(attempt, path, method, b"x" * 600))
                head = await lab.read_head(reader)
                status = head[0].split(" ")[1] if head else "closed"
                if head:
                    await lab.read_body(reader, head[1])
        except (TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            status = "lost"
        counts[status] = counts.get(status, 0) + 1
        took = lab.now() - began
        record.line(f"edge-{router.number} {attempt} {path}: {status} after {took:.3f} s")
        if status in ("closed", "lost"):
            if writer is not None:
                writer.close()
            writer = None
        await asyncio.sleep(max(period - took, 0))


async def case(record, folder, routers, trouble):
    store = lab.Store()
    await store.start()
    await store.put("op/config", lab.config())
    kind = BadUnderLoad if trouble else lab.Replica
    pool = [lab.Replica(store, record, "pool", n) for n in range(2)]
    old = [lab.Replica(store, record, "app", n) for n in range(3)]
    new = [kind(store, record, "app", n, version="v2") for n in range(3, 6)]
    for replica in pool + old + new:
        replica.work_s = WORK_S
    for replica in pool + old:
        await replica.start()
    bounds = {
        "ExposureShare": EXPOSURE_SHARE,
        "ExposureAllowance": EXPOSURE_ALLOWANCE,
        "RollbackMs": round(ROLLBACK_S * 1000),
    }
    for number in range(1, MACHINES + 1):
        routers.append(lab.Router(folder, store, number, record, bounds=bounds))
        routers[-1].start()
    for router in routers:
        if not await router.wait_ready():
            record.say("a machine did not become ready")
            return 2
    counts, stop, users = {}, asyncio.Event(), []
    for index, router in enumerate(routers):
        for number, path in enumerate(PATHS):
            begin_s = (number * MACHINES + index) / RATE
            task = user(router, record, path, begin_s, counts, stop)
            users.append(asyncio.create_task(task))
    await asyncio.sleep(MACHINES * len(PATHS) / RATE + 4.0)

    for replica in new:
        await replica.start()
    ordered_at = lab.now()
    await store.put(
        "op/rollout/app", {"Service": "app", "TargetVersion": "v2", "DurationS": DURATION_S}
    )
    record.say(f"the order for v2 is written; answers to users: {counts}")
    counts.clear()
    state = None
    while lab.now() < ordered_at + DURATION_S + AFTER_S:
        await asyncio.sleep(0.1)
        status = store.value("status/rollout/app") or {}
        if status.get("State") == state:
            continue
        state = status.get("State")
        failed = len(BadUnderLoad.failures)
        record.say(
            f"{lab.now() - ordered_at:.1f} s after the order: {state};"
            f" v2 has failed {failed} requests; answers to users: {counts}"
        )
        counts.clear()
        if state == "completed":
            for replica in old:
                await replica.stop()
        if state == "rolled_back":
            for replica in new:
                replica.state = "draining"
                await replica.beat()
    stop.set()
    for task in users:
        task.cancel()
    await asyncio.gather(*users, return_exceptions=True)

    def times(replicas):
        return sorted(at for replica in replicas for at, *_ in replica.arrivals)

    deadline = ordered_at + DURATION_S
    to_new, to_old, failures = times(new), times(old), BadUnderLoad.failures
    within = [at for at in to_new if ordered_at <= at <= deadline]
    total = len(within) + len([at for at in to_old if ordered_at <= at <= deadline])
    limit = EXPOSURE_SHARE * total + EXPOSURE_ALLOWANCE
    late = []
    if len(failures) >= 50:
        late = [at for at in within if at > failures[49] + ROLLBACK_S + TRANSIT_S]
    record.say(
        f"answers to users since then: {counts}; between the order and its deadline v2 got"
        f" {len(within)} of {total} requests, the limit is {limit:.0f}; it failed"
        f" {len(failures)}, and {len(late)} arrived later than {ROLLBACK_S:.0f} s after the 50th"
        f" failure"
    )
    if not trouble:
        # A good version has to be completed.
        return 0 if state == "completed" else 2
    if len(within) > limit or late:
        record.say("broken: EXPOSURE")
        return 1
    return 0


lab.run_case(HERE, case)
