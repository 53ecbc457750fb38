"""Spoilt answers, whose length does not fit the value: does a client get something that is not the value for its request?"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import Counter, Discovery, Gateway, Server, call, main, read_answer, served  # noqa: E402

SECONDS = 30
SERVERS = 3
CLIENTS = 6
# Of ten answers one is spoilt: the length that it gives is wrong by up to this many bytes, each as likely.
SPOILT = 0.1
WRONG_BY = [by for by in range(-20, 21) if by]


def value_for(request):
    """The value that only the servers make, and only for this request: 30 to 90 bytes."""
    return f"slots for {request}".encode().ljust(30 + sum(request.encode()) * 7 % 61, b".")


def spoilt(value, by):
    """The answer to a request with a wrong length before its value. All else is as in a good answer."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value) + by, value)


async def play(record, with_trouble):
    chance = random.Random(69)
    wrong_by = {}

    async def answer(server, writer, words, connection):
        request = words[2].decode()
        await asyncio.sleep(chance.uniform(0.02, 0.08))
        value = value_for(request)
        if with_trouble and chance.random() < SPOILT:
            by = chance.choice(WRONG_BY)
            wrong_by[request] = by
            record(server.name, f"has run {request}, gives {len(value)} bytes the length {len(value) + by}")
            writer.write(spoilt(value, by))
        else:
            record(server.name, f"has run {request}, gives {len(value)} bytes")
            writer.write(served(value))

    discovery, counter = Discovery(), Counter()
    await counter.start()
    for number in range(SERVERS):
        server = Server(f"box-{number}", record, answer)
        await server.start()
        discovery.add(server.name, server.address)
    await discovery.start()
    gateway = Gateway(record, discovery, counter)
    counts = {"served": 0, "refused": 0, "failed": 0, "wrong": 0}
    try:
        await gateway.start()
        end = time.monotonic() + SECONDS

        async def client(number):
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            count = 0
            while time.monotonic() < end:
                count += 1
                request = f"r{number}-{count:04}"
                record(f"client {number}", f"sends {request}")
                writer.write(call("slot-check", 0x1000 + number, request, 2500))
                kind, value = await asyncio.wait_for(read_answer(reader), 10)
                counts[kind] += 1
                if kind != "served":
                    record(f"client {number}", f"{request} {kind}: {value.decode()}")
                elif value == value_for(request):
                    record(f"client {number}", f"{request} served")
                else:
                    counts["wrong"] += 1
                    record(f"client {number}", f"{request} WRONG: served with {value!r}, made was {value_for(request)!r}; "
                                               f"the length was wrong by {wrong_by.get(request)}")
                await asyncio.sleep(chance.uniform(0, 0.1))
            writer.close()

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    finally:
        await gateway.stop()
    print(f"spoilt answers: {len(wrong_by)}; " + ", ".join(f"{kind}: {count}" for kind, count in counts.items()))
    record("case", f"spoilt answers: {len(wrong_by)}; {counts}")
    assert counts["served"] > 100, "hardly anything was served"
    return counts["wrong"] == 0


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
