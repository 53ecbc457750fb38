"""A keyed order goes out again to servers that have forgotten its key, and runs twice."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

# As at catania-hq: all servers drop a repeat of an order for 3 s, and its client waits for 5 s.
MEMORY = 3.0
HARD_STOP = 5.0
SLACK = 0.05
# Three in ten orders lose their connection in the middle of their work, this long after they began.
RESET_SHARE = 0.3
RESET_AFTER = (2.0, 2.9)
# New connections to a server come up a second late for 0.65 of every 2 s: for a third of the time.
LATE, PERIOD = 0.65, 2.0
CUSTOMERS, ORDERS = 12, 10


async def scenario(bed):
    rng = random.Random(6)
    began, runs, resets = {}, {}, {}

    async def work(server, call, writer):
        key, at = call.fields["k"], now()
        # The servers share their memory of keys. It begins with the first run, which is later than the send.
        if key in began and at <= began[key] + MEMORY + SLACK:
            bed.record(f"{server.name}: {call.id}, key {key}: a repeat, dropped")
            return served("done " + key)
        began[key] = at
        runs.setdefault(key, []).append((at, server.name))
        bed.record(f"{server.name}: {call.id}, key {key}: run {len(runs[key])}, d={call.fields['d']}")
        if TROUBLE and len(runs[key]) == 1 and resets[key] is not None:
            await asyncio.sleep(resets[key])
            bed.record(f"{server.name}: {call.id}: its connection is reset {now() - at:.3f} s after it began")
            reset(writer)
            return None
        await asyncio.sleep(0.15)
        return served("done " + key)

    servers = [Server(f"box-{number}", work, bed.record) for number in range(4)]
    links = [Link(server) for server in servers]
    for part in servers + links:
        await part.start()
    agent = Agent(servers, bed.record, {server.name: link.port for server, link in zip(servers, links)})
    counter = Counter()
    await agent.start()
    await counter.start()
    values = settings()
    values["ceilings"] = {**values["ceilings"], "dialTimeoutMs": 1500, "connIdleMs": 1000}
    gateway = bed.gateway("n0", config(agent, counter, values))
    await gateway.start()

    async def come_up_late(link, offset):
        await asyncio.sleep(offset)
        while True:
            link.shut()
            await asyncio.sleep(LATE)
            link.reopen()
            await asyncio.sleep(PERIOD - LATE)

    if TROUBLE:
        for number, link in enumerate(links):
            spawn(come_up_late(link, number * PERIOD / len(links)))

    async def customer(number):
        client = Client(gateway.port)
        for order in range(ORDERS):
            await asyncio.sleep(rng.uniform(0, 3))
            key, request = f"{number:02x}{order:014x}", f"id-{number}-{order}"
            resets[key] = rng.uniform(*RESET_AFTER) if rng.random() < RESET_SHARE else None
            bed.record(f"client: {request}, key {key}: sent")
            answer = await client.call("CALL.POST", f"{number + 1:016x}", request,
                                       f"c=order,t=standard,d={HARD_STOP * 1000:.0f},k={key},units=1", "BODY")
            bed.record(f"client: {request}: {answer}")

    await asyncio.gather(*(customer(number) for number in range(CUSTOMERS)))
    if not runs:
        raise CannotRun("no order has run")
    return [f"the order with key {key} was sent once by its client and has run {len(times)} times, "
            f"{times[-1][0] - times[0][0]:.2f} s apart: {times}"
            for key, times in runs.items() if len(times) > 1]


play(__file__, scenario)
