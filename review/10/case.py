"""A gateway that was told to end cuts off a long value that its server still gives, long before it is killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

# The longest deadline of any class, which is how long the platform waits after SIGTERM at the least, and 0.7 s more.
LONGEST = 3.0
# The platform kills no sooner than that; this one waits longer.
KILL_AFTER = 15.0
# The server gives 1 MiB in pieces, 160 KiB a second.
SIZE, PIECE, PAUSE = 1 << 20, 16 << 10, 0.1
SIGTERM_AFTER = 0.5


async def scenario(bed):
    async def work(server, call, writer):
        bed.record(f"{server.name}: {call.id} has come, d={call.fields['d']}")
        writer.write(b"*3\r\n$%d\r\n" % SIZE)
        for start in range(0, SIZE, PIECE):
            if writer.transport.is_closing():
                bed.record(f"{server.name}: {call.id}: the gateway has closed the connection, {start} bytes were written")
                return None
            writer.write(b"v" * PIECE)
            await writer.drain()
            await asyncio.sleep(PAUSE)
        bed.record(f"{server.name}: {call.id}: the value is written")
        return b"\r\n$-1\r\n$-1\r\n"

    servers = [Server(f"box-{number}", work, bed.record) for number in range(2)]
    for server in servers:
        await server.start()
    agent, counter = Agent(servers, bed.record), Counter()
    await agent.start()
    await counter.start()
    values = settings()
    values["lanes"] = [{**lane, "giveUpMs": LONGEST * 1000} for lane in values["lanes"]]
    gateway = bed.gateway("n0", config(agent, counter, values))
    await gateway.start()

    async def request(number):
        client = Client(gateway.port)
        fields = f"c=lookup,t=standard,d={LONGEST * 1000:.0f},units=1"
        bed.record(f"client: id-{number}: sent")
        kind, value = await client.call("CALL.GET", f"{number:016x}", f"id-{number}", fields)
        whole = kind == "$" and value == b"v" * SIZE
        bed.record(f"client: id-{number}: {'the whole value' if whole else (kind, str(value)[:40])}")
        return f"id-{number}", whole, now()

    requests = [spawn(request(number)) for number in range(1, 4)]
    await asyncio.sleep(SIGTERM_AFTER)
    ended_at = killed = None
    term_at = now()
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(gateway.process.wait(), KILL_AFTER)
            ended_at = now()
            bed.record(f"platform: n0 ended by itself {ended_at - term_at:.2f} s after SIGTERM, exit code "
                       f"{gateway.process.returncode}; nobody has killed it")
        except asyncio.TimeoutError:
            killed = True
            gateway.signal(signal.SIGKILL)
    breaks = []
    for name, whole, at in [await task for task in requests]:
        # What SIGKILL finds unanswered is not held against a gateway if it came before SIGTERM.
        if not whole and not killed:
            breaks.append(f"{name} was taken before SIGTERM and got a part of its value: the gateway ended by itself "
                          f"{at - term_at:.2f} s after SIGTERM, while the server still gave the value")
    return breaks


play(__file__, scenario)
