"""Requests behind a long value that its server breaks off are taken, run, and never answered."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

# A value over 64 KiB, which a gateway passes on while it comes.
SIZE, PIECE = 1 << 20, 32 << 10
CLIENTS, BEHIND = 6, 5
HARD_STOP, LATE = 5.0, 0.5


async def scenario(bed):
    runs = {}

    async def work(server, call, writer):
        bed.record(f"{server.name}: {call.id} has come and runs")
        runs[call.id] = server.name
        if not call.id.startswith("long"):
            await asyncio.sleep(0.05)
            return served("done " + call.id)
        writer.write(b"*3\r\n$%d\r\n" % SIZE)
        for start in range(0, SIZE, PIECE):
            # One connection in two breaks in the middle of the value.
            if TROUBLE and start >= SIZE // 2 and int(call.id.split("-")[1]) % 2:
                bed.record(f"{server.name}: {call.id}: its connection is reset after {start} bytes of the value")
                reset(writer)
                return None
            writer.write(b"v" * PIECE)
            await writer.drain()
            await asyncio.sleep(0.02)
        return b"\r\n$-1\r\n$-1\r\n"

    servers = [Server(f"box-{number}", work, bed.record) for number in range(8)]
    for server in servers:
        await server.start()
    agent, counter = Agent(servers, bed.record), Counter()
    await agent.start()
    await counter.start()
    gateway = bed.gateway("n0", config(agent, counter, settings()))
    await gateway.start()

    async def client(number):
        """Sends one request with a long value and several others at once, and reads the answers."""
        names = [f"long-{number}"] + [f"order-{number}-{order}" for order in range(BEHIND)]
        commands = [encode("CALL.GET", f"{number + 1:016x}", names[0], f"c=lookup,t=standard,d={HARD_STOP * 1000:.0f},units=1")]
        for order, name in enumerate(names[1:]):
            fields = f"c=order,t=standard,d={HARD_STOP * 1000:.0f},k={number:08x}{order:08x},units=1"
            commands.append(encode("CALL.POST", f"{number + 1:016x}", name, fields, "BODY"))
        reader, writer = await asyncio.open_connection(HOST, gateway.port, limit=8 << 20)
        writer.write(b"".join(commands))
        bed.record(f"client {number}: sent {names} at once")
        unanswered = list(names)
        try:
            while unanswered:
                # The time spent waiting for the answers before does not count.
                kind, value = await asyncio.wait_for(read_item(reader), HARD_STOP + LATE)
                bed.record(f"client {number}: {unanswered[0]}: {kind} of {len(value)} bytes")
                unanswered.pop(0)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as end:
            bed.record(f"client {number}: the gateway has ended the connection: {end!r:.80}; unanswered: {unanswered}")
        writer.close()
        # A value that was begun and broke off has failed, and is not lost.
        return [name for name in unanswered if not name.startswith("long")]

    lost = []
    for number in range(CLIENTS):
        lost += await client(number)
    return [f"{name} was taken and run by {runs.get(name, 'nobody')}, and never answered: the gateway ended its connection"
            for name in lost]


play(__file__, scenario)
