"""A version that is several times slower is ordered: is it kept to its share, and taken back?"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "standins-2"))
import lab  # noqa: E402

# 0.29 requests a second for each route and machine, as on the sheet with 295 machines: 84.5 a second
# of `parcel-lookup`.
MACHINES, ROUTES, RATE = 16, 4, 18.4
DURATION_S, AFTER_S = 30.0, 10.0
EXPOSURE_SHARE, EXPOSURE_ALLOWANCE, ROLLBACK_S = 0.1, 50, 5.0
# How long a request may be on its way between a machine and a replica.
TRANSIT_S = 0.5
USUAL_S, SLOW_S = 0.06, 0.30


def config():
    """Returns the configuration, with `ROUTES` more routes to the plain service."""
    value = lab.config()
    safe = next(route for route in value["Routes"] if route["Name"] == "safe")
    for number in range(ROUTES):
        name = f"safe{number}"
        value["Routes"].append({**safe, "Name": name, "PathPrefix": f"/{name}/"})
    return value


async def user(router, record, number, begin_s, counts, stop):
    """A user of one route at one machine, with a kept connection."""
    await asyncio.sleep(begin_s)
    period = MACHINES * ROUTES / RATE
    path, reader, writer = f"/safe{number}/lookup", None, None
    while not stop.is_set():
        began = lab.now()
        attempt = lab.next_attempt()
        try:
            async with asyncio.timeout(4.0):
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
                writer.write(lab.plain_request(attempt, path))
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
    await store.put("op/config", config())
    pool = [lab.Replica(store, record, "pool", n) for n in range(2)]
    old = [lab.Replica(store, record, "app", n) for n in range(3)]
    new = [lab.Replica(store, record, "app", n, version="v2") for n in range(3, 6)]
    for replica in pool + old:
        replica.work_s = USUAL_S
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
        for number in range(ROUTES):
            begin_s = (number * MACHINES + index) / RATE
            task = user(router, record, number, begin_s, counts, stop)
            users.append(asyncio.create_task(task))
    await asyncio.sleep(MACHINES * ROUTES / RATE + 4.0)

    for replica in new:
        replica.work_s = SLOW_S if trouble else USUAL_S
        await replica.start()
    ordered_at = lab.now()
    await store.put(
        "op/rollout/app", {"Service": "app", "TargetVersion": "v2", "DurationS": DURATION_S}
    )
    record.say("the order for v2 is written")
    state = None
    while lab.now() < ordered_at + DURATION_S + AFTER_S:
        await asyncio.sleep(0.1)
        status = store.value("status/rollout/app") or {}
        if status.get("State") == state:
            continue
        state = status.get("State")
        record.say(f"{lab.now() - ordered_at:.1f} s after the order: {state}")
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
    to_new, to_old = times(new), times(old)
    within = [at for at in to_new if ordered_at <= at <= deadline]
    total = len(within) + len([at for at in to_old if ordered_at <= at <= deadline])
    limit = EXPOSURE_SHARE * total + EXPOSURE_ALLOWANCE
    # All answers of v2 are slow, so its 50th answer is its 50th bad one.
    late = []
    if len(to_new) >= 50:
        late = [at for at in within if at > to_new[49] + SLOW_S + ROLLBACK_S + TRANSIT_S]
    record.say(
        f"answers to users: {counts}; between the order and its deadline v2 got {len(within)} of"
        f" {total} requests, the limit is {limit:.0f}; {len(late)} of them later than"
        f" {ROLLBACK_S:.0f} s after the 50th"
    )
    if not trouble:
        # A good version has to be completed.
        return 0 if state == "completed" else 2
    if len(within) > limit or late:
        record.say("broken: EXPOSURE")
        return 1
    return 0


lab.run_case(HERE, case)
