"""All routers are killed and start again during a roll-out: a bad version gets all requests."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins"))
from deployment import Replica, call, main, read_chunks, read_head, send_request  # noqa: E402

PER_S = 8.0
DURATION_S = 60.0
KILL_AT_S = 29.0
DOWN_S = 1.0
# Each fourth answer of a replica of the new version is a failure.
FAILS_EACH = 4
# The bounds of the users' site Logkeep, the one with roll-outs.
SHARE, ALLOWANCE, CONTACT_S = 0.1, 50, 4.0


async def case(site, trouble):
    site.out_of_touch = (0.0, 0.0)
    site.bounds = {"ExposureShare": SHARE, "ExposureAllowance": ALLOWANCE, "RollbackMs": 5000}
    await site.start(routers=4, engines=4, apps=1)
    loop = asyncio.get_running_loop()
    old = [replica for replica in site.replicas if replica.entry["Service"] == "pool"]
    zones = ["accra-a", "accra-b", "accra-c"]
    new = [Replica(site, f"engine-new-{n + 1}", "pool", zones[n % 3], 64, "v2", FAILS_EACH)
           for n in range(4)]
    statuses = {}

    async def one(number):
        attempt = site.new_id()
        headers = site.headers(attempt, 15000, (600, 50))
        body = json.dumps({"events": 10, "gap_s": 0.02}).encode()
        status = await stream(site.routers[number % len(site.routers)], headers, body)
        statuses[status] = statuses.get(status, 0) + 1
        site.record(f"client: {headers['Badgerfield-Attempt-Id']} got {status}")

    async def traffic(until):
        began, number = loop.time(), 0
        while loop.time() < until:
            tasks.append(asyncio.ensure_future(one(number)))
            number += 1
            await asyncio.sleep(max(0.0, began + number / PER_S - loop.time()))

    tasks = []
    warm = asyncio.ensure_future(traffic(loop.time() + 3 + DURATION_S))
    await asyncio.sleep(3)
    for replica in new:
        await replica.start()
        site.replicas.append(replica)
    order = {"Service": "pool", "TargetVersion": "v2", "DurationS": DURATION_S}
    await site.store.put("op/rollout/pool", order)
    ordered = loop.time()
    site.record(f"operator orders {json.dumps(order)}")
    watch = asyncio.ensure_future(platform(site, old, new, ordered))
    if trouble:
        await asyncio.sleep(max(0.0, ordered + KILL_AT_S - loop.time()))
        killed = time.time()
        for router in site.routers:
            router.signal(signal.SIGKILL)
        site.record("all routers killed")
        await asyncio.sleep(DOWN_S)
        for router in site.routers:
            router.process.wait()
            router.start()
        site.out_of_touch = (killed, time.time() + CONTACT_S)
        site.record("all routers start again")
    await warm
    await asyncio.gather(*tasks)
    watch.cancel()
    arrived = {"v1": 0, "v2": 0}
    failed = 0
    for replica in site.replicas:
        runs = replica.runs()
        if replica.entry["Service"] == "pool":
            # Requests between the order and its deadline; v2 was started just before the order.
            arrived[replica.entry["Version"]] += sum(
                run["event"] == "run" and run["at"] >= old[0].ordered_at for run in runs)
            failed += sum(run["event"] == "failed" for run in runs)
            for run in runs:
                if run["event"] in ("run", "failed"):
                    site.record(f"replica: {json.dumps(run)}")
    # A machine is in touch again 4 s after its start (ContactMs of the site).
    out_of_touch = site.out_of_touch
    not_counted = sum(run["event"] == "run" and out_of_touch[0] <= run["at"] < out_of_touch[1]
                      for replica in new for run in replica.runs())
    bound = SHARE * sum(arrived.values()) + ALLOWANCE
    site.record(f"arrivals from the order to its deadline {arrived}, failures of v2 {failed}, "
                f"clients' statuses {statuses}, v2 may get {bound:.0f}")
    site.record(f"of these, {not_counted} of v2 came while the machines were out of touch")
    return arrived["v2"] - not_counted <= bound and statuses.get(200, 0) > 0


async def platform(site, old, new, ordered):
    """Does what the platform does on the record of the roll-out."""
    old[0].ordered_at = time.time()
    last = None
    while True:
        value = site.store.value("status/rollout/pool")
        status = json.loads(value) if value else {}
        state = status.get("State")
        shown = (state, status.get("Progress", {}).get("moving"), status.get("Progress", {}).get("reason"))
        if shown != last:
            last = shown
            site.record(f"status {asyncio.get_running_loop().time() - ordered:.1f} s after the order: {shown}")
            if state == "completed":
                for replica in old:
                    replica.kill()
                site.record("the old replicas stop")
            if state == "rolled_back":
                asyncio.ensure_future(drain(site, new))
        await asyncio.sleep(0.05)


async def drain(site, new):
    await asyncio.sleep(3)
    for replica in new:
        replica.entry["State"] = "draining"
    site.record("the new replicas drain")


async def stream(router, headers, body):
    try:
        reader, writer = await asyncio.open_connection(*router.address("Front"))
    except OSError:
        return "no connection"
    try:
        await send_request(writer, "POST", "/single/x", headers, body)
        first, answered = await read_head(reader)
        status = int(first.split(" ")[1])
        if status == 200:
            async for _ in read_chunks(reader):
                pass
        return status
    except (asyncio.IncompleteReadError, ConnectionError):
        return "broken off"
    finally:
        writer.close()


main(case, os.path.join(FOLDER, "record.txt"))
