"""A tenant whose requests a model replica answers whole, without a stream, gets more than its Prepaid."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins"))
from deployment import call, config, main  # noqa: E402

PROMPT, OUTPUT = 100, 400
PREPAID = 40_000
# At 2 requests a second for 20 s the tenant uses 20,000 of its 40,000 tokens.
USUAL_PER_S = 2.0
HOT_X = 7.5
HOT_S = 6.5
LENGTH_S = 20.0


def route(name, kind, service):
    return {"Name": name, "Host": "site.example", "PathPrefix": f"/{name}/", "RouteType": kind,
            "TimeoutMs": 4000, "SloMs": 800, "Priority": 1, "Service": service, "MaxAttempts": 1,
            "Anonymous": False, "SessionAffinity": True, "StreamResume": False}


async def case(site, trouble):
    made = config(prepaid=PREPAID, routes=[route("whole", "unsafe", "pool")])
    await site.start(routers=3, engines=4, apps=2, configuration=made)
    spent = {"tokens": 0, "answers": 0, "statuses": {}}

    async def one(number):
        attempt = site.new_id()
        router = site.routers[number % len(site.routers)]
        headers = site.headers(attempt, 4000, (PROMPT, OUTPUT))
        body = json.dumps({"bytes": OUTPUT * 4}).encode()
        try:
            status, answered, got = await call(
                router.address("Front"), "POST", "/whole/x", headers, body)
        except (OSError, EOFError) as error:
            site.record(f"client: {attempt} failed {error!r}")
            return
        spent["statuses"][status] = spent["statuses"].get(status, 0) + 1
        if status == 200 and len(got) == OUTPUT * 4:
            spent["tokens"] += PROMPT + OUTPUT
            spent["answers"] += 1
        site.record(f"client: {attempt} got {status} {len(got)} bytes, tokens so far {spent['tokens']}")

    tasks, began, number, sent_at = [], asyncio.get_running_loop().time(), 0, 0.0
    while sent_at < LENGTH_S:
        tasks.append(asyncio.ensure_future(one(number)))
        number += 1
        is_hot = trouble and 5.0 <= sent_at < 5.0 + HOT_S
        sent_at += 1 / (USUAL_PER_S * (HOT_X if is_hot else 1.0))
        await asyncio.sleep(max(0.0, began + sent_at - asyncio.get_running_loop().time()))
    await asyncio.gather(*tasks)
    for replica in site.replicas:
        for run in replica.runs():
            site.record(f"replica: {json.dumps(run)}")
    site.record(f"sent {number}, {spent}, Prepaid {PREPAID}")
    return spent["tokens"] <= PREPAID and spent["answers"] > 0


main(case, os.path.join(FOLDER, "record.txt"))
