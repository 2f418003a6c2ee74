"""A replica turns cold while the store is down: it gets more requests than it can bear."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins"))
from deployment import call, config, main  # noqa: E402

# As on the site: a replica is cold for 3 s after its start and bears 9.9 requests a second.
COLD_S, COLD_PER_S, OVERSHOOT, ALLOWANCE = 3.0, 9.9, 1.5, 5
BOUND = COLD_PER_S * OVERSHOOT + ALLOWANCE
# Well above the bound it falls over.
FALLS_OVER_AT = 1.3 * BOUND
PER_S = 112.0
STORE_DOWN_S = 4.5


async def case(site, trouble):
    site.bounds = {"ColdOvershoot": OVERSHOOT, "ColdAllowance": ALLOWANCE}
    made = config()
    for service in made["Services"]:
        if service["Name"] == "app":
            service.update({"ColdStartS": COLD_S, "ColdPerS": COLD_PER_S})
    await site.start(routers=3, engines=1, apps=4, configuration=made,
                     cold=(COLD_S, FALLS_OVER_AT))
    loop = asyncio.get_running_loop()
    statuses, tasks = {}, []

    async def one(number):
        headers = site.headers(site.new_id(), 4000)
        body = json.dumps({"bytes": 200, "work_s": 0.01}).encode()
        router = site.routers[number % len(site.routers)]
        try:
            status, _, _ = await call(router.address("Front"), "POST", "/once/x", headers, body)
        except (OSError, EOFError):
            status = "none"
        statuses[status] = statuses.get(status, 0) + 1
        site.record(f"client: {headers['Badgerfield-Attempt-Id']} got {status}")

    async def traffic(seconds):
        began, number = loop.time(), 0
        while number < seconds * PER_S:
            tasks.append(asyncio.ensure_future(one(number)))
            number += 1
            await asyncio.sleep(max(0.0, began + number / PER_S - loop.time()))

    running = asyncio.ensure_future(traffic(12))
    await asyncio.sleep(5)
    victim = site.replica("app-1")
    if trouble:
        site.store.go_down()
        site.record("the store is down")
    down = loop.time()
    await asyncio.sleep(1)
    await victim.turn_cold(COLD_S)
    site.record(f"{victim.name} turns cold for {COLD_S} s")
    if trouble:
        await asyncio.sleep(max(0.0, down + STORE_DOWN_S - loop.time()))
        site.store.come_back()
        site.record("the store is back")
    await running
    await asyncio.gather(*tasks)
    for run in victim.runs():
        if run["event"] != "done":
            site.record(f"replica: {json.dumps(run)}")
    cold_from = next(run["at"] for run in victim.runs() if run["event"] == "cold")
    arrivals = sorted(run["at"] - cold_from for run in victim.runs()
                      if run["event"] in ("run", "fell over") and 0 <= run["at"] - cold_from < COLD_S)
    most = max((sum(a <= b < a + 1 for b in arrivals) for a in arrivals), default=0)
    site.record(f"arrivals while cold: {[round(a, 3) for a in arrivals]}")
    site.record(f"at most {most} in one second, the bound is {BOUND:.2f}; clients' statuses {statuses}")
    return most <= BOUND and statuses.get(200, 0) > 0


main(case, os.path.join(FOLDER, "record.txt"))
