"""Stand-ins for the cases 6 to 10: clients, servers, discovery's agent, the counter, the network and the platform.

Only the standard library is used, and only loopback addresses. Everything that was sent, answered and run is written to
`record.txt` in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - START


class Record:
    """The record of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.4f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


TASKS = set()


def spawn(work):
    """Runs a coroutine beside the others. The loop itself keeps no reference to its tasks."""
    task = asyncio.get_running_loop().create_task(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


# --- RESP2 -------------------------------------------------------------------------------------------------------------


def encode(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionError("the connection ended")
    return line[:-2]


async def read_item(reader):
    """One reply: ('+', text), ('-', text), ('$', bytes or None) or ('*', list)."""
    line = await read_line(reader)
    kind, rest = chr(line[0]), line[1:]
    if kind in "+-:":
        return kind, rest.decode("utf-8", "replace")
    count = int(rest)
    if kind == "$":
        if count < 0:
            return "$", None
        value = await reader.readexactly(count + 2)
        return "$", value[:-2]
    return "*", [await read_item(reader) for _ in range(max(count, 0))]


async def read_command(reader):
    kind, items = await read_item(reader)
    if kind != "*":
        raise ConnectionError("no command")
    return [item[1] for item in items]


def fields_of(text):
    return dict(part.split("=", 1) for part in text.split(","))


class Call:
    """A command as a server or a client sees it."""

    def __init__(self, words):
        self.words = words
        self.name = words[0].decode()
        self.customer, self.id = words[1].decode(), words[2].decode()
        self.fields = fields_of(words[3].decode())
        self.body = words[4] if len(words) > 4 else None


# --- servers -----------------------------------------------------------------------------------------------------------


class Server:
    """A server. `work(server, call, connection)` gives the reply in bytes, or None for no reply."""

    def __init__(self, name, work, record, zone="here", cell=0):
        self.name, self.work, self.record, self.zone, self.cell = name, work, record, zone, cell
        self.listener, self.port = None, None
        self.writers = set()
        self.status, self.since_ms = "in_service", 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0, limit=8 * 1024 * 1024)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        replies = asyncio.Queue()
        answering = spawn(self.answer(replies, writer))
        try:
            while True:
                words = await read_command(reader)
                # A request written behind another is begun at once, but is answered after it.
                replies.put_nowait(spawn(self.reply(words, writer)))
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            answering.cancel()
            self.writers.discard(writer)
            writer.close()

    async def answer(self, replies, writer):
        while True:
            reply = await (await replies.get())
            if reply is None:
                await asyncio.Event().wait()
            with contextlib.suppress(ConnectionError, OSError):
                writer.write(reply)
                await writer.drain()

    async def reply(self, words, writer):
        name = words[0].upper()
        if name == b"PING":
            return b"+PONG\r\n"
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name == b"INFO":
            return b"-NOPERM\r\n"
        if name not in (b"CALL.GET", b"CALL.POST"):
            return b"-ERR unknown\r\n"
        return await self.work(self, Call(words), writer)

    def entry(self, port=None):
        return {"name": self.name, "address": f"{HOST}:{port or self.port}", "zone": self.zone, "type": "box",
                "group": self.cell, "status": self.status, "weight": 1.0, "since_ms": self.since_ms}


def served(value):
    value = value if isinstance(value, bytes) else value.encode()
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def reset(writer):
    """Ends a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link:
    """The network between gateways and one server.

    Closed to new connections, they never come up, or come up late: the first packet of one is dropped, as TCP drops it where
    nobody has room for it, and TCP sends it again after a second. Cut, open connections stay open and silent as well; once
    the link is back, what was written to them arrives, as TCP sends it again.
    """

    def __init__(self, server):
        self.server, self.port = server, None
        self.open, self.flowing = asyncio.Event(), asyncio.Event()
        self.open.set()
        self.flowing.set()
        self.fillers = []

    async def start(self):
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(1024)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self):
        with contextlib.suppress(BlockingIOError, OSError):
            connection, peer = self.listener.accept()
            if peer[1] in self.filler_ports():
                connection.close()
            else:
                spawn(self.carry(connection))

    def filler_ports(self):
        return {port for _, port in self.fillers}

    async def carry(self, connection):
        try:
            reader, writer = await asyncio.open_connection(sock=connection, limit=8 * 1024 * 1024)
            to_reader, to_writer = await asyncio.open_connection(HOST, self.server.port)
        except OSError:
            connection.close()
            return
        await asyncio.gather(self.pipe(reader, to_writer), self.pipe(to_reader, writer))

    async def pipe(self, reader, writer):
        broken = False
        try:
            while True:
                data = await reader.read(65536)
                await self.flowing.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            broken = True
        if broken:
            reset(writer)
        else:
            writer.close()

    def shut(self):
        """From now on new connections don't come up."""
        self.open.clear()
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        # One connection that nobody accepts fills a backlog of 0.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self.fillers.append((filler, filler.getsockname()[1]))

    def reopen(self):
        self.listener.listen(1024)
        asyncio.get_running_loop().add_reader(self.listener, self.accept)
        while True:
            try:
                connection, peer = self.listener.accept()
            except OSError:
                break
            if peer[1] in self.filler_ports():
                connection.close()
            else:
                spawn(self.carry(connection))
        for filler, _ in self.fillers:
            filler.close()
        self.fillers.clear()
        self.open.set()

    def cut(self):
        self.shut()
        self.flowing.clear()

    def mend(self):
        self.reopen()
        self.flowing.set()


# --- discovery and the counter ---------------------------------------------------------------------------------------


class Agent:
    """Discovery's agent beside one gateway. It has every change at once."""

    def __init__(self, servers, record, ports=None):
        self.servers, self.record, self.ports = servers, record, ports or {}
        self.index = 1
        self.changed = {server.name: 1 for server in servers}
        self.news = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def tell(self, server):
        """A server's entry has changed."""
        self.index += 1
        self.changed[server.name] = self.index
        self.news.set()
        self.news = asyncio.Event()

    def body(self, since=None):
        chosen = [server for server in self.servers if since is None or self.changed[server.name] > since]
        entries = [server.entry(self.ports.get(server.name)) for server in chosen]
        return json.dumps({"index": self.index, "snapshot": since is None, "endpoints": entries}).encode()

    async def write(self, writer, body):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                match = re.search(r"since=(\d+)", path)
                wait = re.search(r"timeout_ms=(\d+)", path)
                since = int(match.group(1)) if match else None
                if since is not None and since >= self.index and wait:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.news.wait(), int(wait.group(1)) / 1000)
                await self.write(writer, self.body(since))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Counter:
    """The counter that all gateways share."""

    def __init__(self):
        self.names = {}

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                words = await read_command(reader)
                name = words[0].upper()
                if name == b"ADDGET":
                    total, ends = self.names.get(words[1], (0.0, 0.0))
                    if ends <= now():
                        total, ends = 0.0, now() + min(int(words[3]), 60000) / 1000
                    total += float(words[2])
                    self.names[words[1]] = (total, ends)
                    text = b"%.7g" % total
                    writer.write(b"$%d\r\n%s\r\n" % (len(text), text))
                elif name == b"PING":
                    writer.write(b"+PONG\r\n")
                else:
                    writer.write(b"+OK\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()


# --- the platform ------------------------------------------------------------------------------------------------------


def run_command():
    """The command of the deploy file that starts one gateway."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE).group(1)


class Gateway:
    def __init__(self, name, config, folder, record):
        self.name, self.record = name, record
        self.config = dict(config)
        self.port = free_port()
        self.folder = os.path.join(folder, name)
        os.makedirs(os.path.join(self.folder, "tmp"))
        self.process = None

    def write_config(self):
        config = {"name": self.name, "listen": f"{HOST}:{self.port}", **self.config}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    async def start(self):
        for _ in range(3):
            if await self.start_once():
                return
            # Another connection of this machine may have taken the port that was free a moment ago.
            self.port = free_port()
        raise CannotRun(f"{self.name} ends at its start")

    async def start_once(self):
        """Starts the process and waits until it is ready; false if it has ended."""
        config = self.write_config()
        environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environment.update(BALANCER_NAME=self.name, BALANCER_LISTEN=f"{HOST}:{self.port}",
                           BALANCER_DISCOVERY=self.config["discovery"], BALANCER_CONFIG=config,
                           TMPDIR=os.path.join(self.folder, "tmp"))
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record(f"platform: {self.name} started, process {self.process.pid}")
        deadline = now() + 20
        while now() < deadline:
            if self.process.returncode is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode("PING"))
                answer = await asyncio.wait_for(read_item(reader), 1)
                writer.close()
                if answer == ("+", "PONG"):
                    self.record(f"platform: {self.name} is ready")
                    return True
            except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after 20 s")

    def signal(self, number):
        self.record(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Client:
    """One connection of a client. A new connection is opened for the next request if this one has ended."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=8 * 1024 * 1024)

    async def call(self, *words, timeout=30):
        if self.writer is None:
            await self.connect()
        self.writer.write(encode(*words))
        try:
            return await asyncio.wait_for(read_item(self.reader), timeout)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            self.writer.close()
            self.writer = None
            return "!", "the connection ended"
        except asyncio.TimeoutError:
            self.writer.close()
            self.writer = None
            return "!", "no answer"


class Bed:
    """Everything of one case; ends all processes and removes the temporary folder at the end."""

    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="fernscale-review-")
        self.gateways = []

    def gateway(self, name, config):
        gateway = Gateway(name, config, self.folder, self.record)
        self.gateways.append(gateway)
        return gateway

    async def close(self):
        for gateway in self.gateways:
            await gateway.end()
        self.record.file.flush()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def settings(**changes):
    """Settings like those of a small deployment; `changes` replace whole sections."""
    base = {
        "balancers": 1, "me": 0, "discovery": "pushed", "zones": ["here"], "kinds": ["box"],
        "lanes": [
            {"name": "lookup", "effect": "read_like", "group": "all", "memorySpanMs": 3000, "onTimeMs": 1500,
             "giveUpMs": 5000, "value": 1},
            {"name": "order", "effect": "idempotency_key", "group": "all", "memorySpanMs": 3000, "onTimeMs": 1500,
             "giveUpMs": 5000, "value": 5}],
        "tiersOfService": [
            {"name": "standard", "unitsPerS": 50, "burst": 200, "valueFactor": 1, "excessCost": 1, "excessWorth": 0}],
        "ceilings": {"cancel": True, "connIdleMs": 15000, "dialTimeoutMs": 250, "retryAfter": True,
                     "maxRetryAfterMs": 1000, "sendCap": 4, "secondCopies": False, "streamsPerConn": 100},
        "rules": {"coldFrom": 0.2, "warmUpMs": 10000, "fallMultiple": 4, "fallMs": 1000,
                  "stopSendingWithinMs": 2000, "answerSlackMs": 16},
        "specifics": {"sharedCounter": True, "countWaitMs": 50, "mostUnits": 1},
        "telemetry": {"how": "none", "names": []},
    }
    return {**base, **changes}


def config(agent, counter, gateway_settings, seed="8c1f30d27a5be964", memory_mb=192, sockets=1024):
    return {"discovery": f"{HOST}:{agent.port}", "counter": f"{HOST}:{counter.port}", "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": 0, "snapshot": True, "endpoints": []}, "settings": gateway_settings}


# What `run.sh` turns into the exit codes 1 and 2. A rule is taken for broken by this code alone, never by an error of Python.
BROKEN, HELD, NOT_RUN = 10, 0, 2
LONGEST_PLAY = 105


def play(case_file, scenario):
    """Plays a case: `scenario(bed)` gives the list of breaks. Ends all processes that it started, also when it is told to end."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def main():
        bed = Bed(folder)
        loop = asyncio.get_running_loop()
        told = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, told.set)
        playing, ending = spawn(scenario(bed)), spawn(told.wait())
        await asyncio.wait({playing, ending}, timeout=LONGEST_PLAY, return_when=asyncio.FIRST_COMPLETED)
        code = NOT_RUN
        if not playing.done():
            bed.record.say(f"the case could not run: {'told to end' if told.is_set() else 'it takes too long'}")
        elif playing.exception() is not None:
            bed.record.say(f"the case could not run: {playing.exception()!r}")
        else:
            breaks = playing.result()
            for text in breaks:
                bed.record.say("BREAK " + text)
            bed.record.say(f"{'with' if TROUBLE else 'without'} the disruption: {len(breaks)} breaks of the rule")
            code = BROKEN if breaks else HELD
        await bed.close()
        sys.stdout.flush()
        # Tasks that are still open belong to this process alone, and must not hold up its end.
        os._exit(code)

    asyncio.run(main())
