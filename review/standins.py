"""Stand-ins for the cases of the review: discovery, servers, a client, and the start of one gateway.

All of them listen on loopback addresses with ports that the system chooses. Where the operators' pages are silent, they
behave like a sound server, client or platform. Every case adds its own disruption.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
STARTED = time.monotonic()

# The classes and the plan of the deployments: lanes, limits and times as in the site file of suva-campus.
LANES = [
    {"name": "slot-check", "effect": "read_like", "group": "all", "memorySpanMs": 5000, "onTimeMs": 750,
     "giveUpMs": 2500, "value": 2},
    {"name": "book-delivery", "effect": "idempotency_key", "group": "cell", "memorySpanMs": 12000, "onTimeMs": 2000,
     "giveUpMs": 6000, "value": 3},
]
PLAN = {"name": "wholesale", "unitsPerS": 15, "burst": 24, "valueFactor": 1.4, "excessCost": 0.6, "excessWorth": 0}


class CannotRun(Exception):
    """The case can't be played here: exit code 2."""


class Record:
    """record.txt of a case: one line for everything that was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, who, text):
        self.file.write(f"{time.monotonic() - STARTED:9.4f} {who:<12} {text}\n")
        self.file.flush()


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def command(*words):
    words = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


def served(value):
    """A server's answer: the value, no figures on use, no load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


async def read_line(reader):
    line = await reader.readuntil(b"\r\n")
    return line[:-2]


async def read_command(reader):
    """The words of a command, or None at the end of the connection."""
    try:
        count = int((await read_line(reader))[1:])
        words = []
        for _ in range(count):
            length = int((await read_line(reader))[1:])
            words.append((await reader.readexactly(length + 2))[:-2])
        return words
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_answer(reader):
    """A gateway's answer: ('served', value), ('refused', line) or ('failed', line). Raises at the end of the connection."""
    line = await read_line(reader)
    if line[:1] == b"*":
        line = await read_line(reader)
    if line[:1] == b"$" and line != b"$-1":
        value = await reader.readexactly(int(line[1:]) + 2)
        return "served", value[:-2]
    return ("refused" if line.startswith(b"-BUSY") else "failed"), line


class Discovery:
    """The agent of one gateway: the list of members, and watches on it."""

    def __init__(self):
        self.index = 41
        self.members = []

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def add(self, name, address, group=0):
        self.members.append({"name": name, "address": address, "zone": "room-a", "type": "std-4core", "group": group,
                             "status": "in_service", "weight": 1.0, "since_ms": 0})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                is_watch = "since=%d" % self.index in path
                if is_watch:
                    wait = int(path.split("timeout_ms=")[1])
                    await asyncio.sleep(min(wait, 60000) / 1000)
                body = json.dumps({"index": self.index, "snapshot": not is_watch,
                                   "endpoints": [] if is_watch else self.members}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Counter:
    """The counter: adds an amount to a name and gives the total."""

    def __init__(self):
        self.totals = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (words := await read_command(reader)) is not None:
                name = words[0].upper()
                if name == b"ADDGET":
                    total = self.totals.get(words[1], 0.0) + float(words[2])
                    self.totals[words[1]] = total
                    writer.write(bulk(b"%.7g" % total))
                else:
                    writer.write(b"+PONG\r\n" if name == b"PING" else b"+OK\r\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Server:
    """A server. `answer(server, writer, words)` is called for every call, once its last byte has come."""

    def __init__(self, name, record, answer):
        self.name, self.record, self.answer = name, record, answer
        self.connections = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (words := await read_command(reader)) is not None:
                name = words[0].upper()
                if name in (b"CALL.GET", b"CALL.POST"):
                    self.record(self.name, f"connection {number} begins {b' '.join(words[:4]).decode()}")
                    await self.answer(self, writer, words, number)
                elif name in (b"PING",):
                    writer.write(b"+PONG\r\n")
                elif name in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        except ConnectionError as error:
            self.record(self.name, f"connection {number} broke: {error}")
        finally:
            self.record(self.name, f"connection {number} ended")
            writer.close()


def run_command():
    """The command `run` of the deploy file."""
    for line in (ROOT / "deploy/balancer.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.split('"')[1]
    raise CannotRun("the deploy file has no 'run'")


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def settings():
    """The settings of a small deployment with one gateway."""
    return {
        "balancers": 1, "me": 0, "discovery": "pushed", "zones": ["room-a"], "kinds": ["std-4core"], "lanes": LANES,
        "tiersOfService": [PLAN],
        "ceilings": {"cancel": True, "connIdleMs": 15000, "dialTimeoutMs": 250, "retryAfter": True,
                     "maxRetryAfterMs": 500, "sendCap": 6, "secondCopies": False},
        "rules": {"coldFrom": 0.19, "warmUpMs": 18000, "fallMultiple": 3, "fallMs": 1500,
                  "stopSendingWithinMs": 500},
        "specifics": {"sharedCounter": True, "countWaitMs": 50},
        "telemetry": {"how": "none", "names": []},
    }


class Gateway:
    """One gateway, started as the platform starts it."""

    def __init__(self, record, discovery, counter, memory_mb=192):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
            "counter": counter.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": {"index": discovery.index, "snapshot": True, "endpoints": discovery.members},
            "settings": settings(),
        }

    async def start(self):
        if not (ROOT / "target/release/fernscale").exists():
            raise CannotRun("the program is not built")
        (self.folder / "config.json").write_text(json.dumps(self.config))
        (self.folder / "tmp").mkdir()
        environment = {**os.environ, "TMPDIR": str(self.folder / "tmp"), "BALANCER_NAME": "n0",
                       "BALANCER_LISTEN": self.config["listen"], "BALANCER_DISCOVERY": self.config["discovery"],
                       "BALANCER_CONFIG": str(self.folder / "config.json")}
        self.log = open(self.folder / "log.txt", "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                answer = await read_line(reader)
                writer.close()
                if answer == b"+PONG":
                    return self.record("gateway", "ready")
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway did not become ready: " + (self.folder / "log.txt").read_text()[-500:])

    def signal(self, number):
        self.record("platform", f"sends {signal.Signals(number).name} to the gateway")
        self.process.send_signal(number)

    async def stop(self):
        """Ends the process, and removes its folder."""
        if getattr(self, "process", None) is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            self.log.close()
            for line in (self.folder / "log.txt").read_text(errors="replace").splitlines():
                self.record("gateway log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(lane, customer, request, wait_ms, body=None):
    """A client's request. Each customer has a quota of its own."""
    name = "CALL.GET" if lane == "slot-check" else "CALL.POST"
    key = "" if lane == "slot-check" else f"k={hash_of(request)},"
    words = [name, "%016x" % customer, request, f"c={lane},t=wholesale,d={wait_ms},{key}units=1,spread=1,first=0"]
    return command(*words, *([body] if body is not None else []))


def hash_of(text):
    return "%016x" % int.from_bytes(text.encode()[-8:], "big")


def main(folder, play):
    """Plays a case: `play(record, with_trouble)` returns whether the rule held."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    async def whole():
        # What the stand-ins still do when the case is over, and how their connections end, is of no interest.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # A case that is told to end takes its gateway along.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(record, with_trouble), 110)

    try:
        held = asyncio.run(whole())
    except CannotRun as error:
        record("case", f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001: whatever else goes wrong is no verdict on the rule
        record("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record("case", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
