"""Stand-ins for model engines with separate prefill and decode, and for clients that stream from them."""

import asyncio
import json
import random
import time

from stand import Engine, connect, message, read_head

CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "split", "stream",
             "engine", "places"]
WARMUP_S = 3.0


class Run:
    """The work of a decode engine on one request."""

    def __init__(self, engine, head):
        self.engine = engine
        self.attempt = head.get("attempt-id")
        self.after = head.get("last-event-id")
        self.began = time.monotonic()
        self.ended = None
        self.how = None


class LlmEngine(Engine):
    """An engine of one phase. It stops working on a request when its caller closes the connection."""

    version = "v1"
    failing_share = 0.0
    # Time until the first token of a prompt of 900 tokens whose memory was moved here, and of one that is read here: at
    # half of 56.9 tokens in a millisecond, beside the tokens of other requests.
    first_token_s = 0.03
    read_here_s = 0.06
    tokens = 10
    token_s = 0.03

    def __init__(self, *args):
        super().__init__(*args)
        self.cold_until = 0.0

    def become_cold(self):
        self.cold_until = time.monotonic() + WARMUP_S

    def cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def listing(self):
        return {**super().listing(), "revision": self.version}

    def common(self, head):
        return [*super().common(head), ("Weight-Versions", "1")]

    async def crash(self):
        """Ends at once. Its address refuses connections from then on."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def work(self, head, body, reader, writer):
        is_read = head.get("serving-phase") == "prefill"
        if is_read != (self.phase == "prefill"):
            writer.write(message("HTTP/1.1 421 Misdirected Request", [*self.common(head), ("Instance-Id", self.id)]))
            await writer.drain()
            return True
        if is_read:
            await asyncio.sleep(0.02)
            handle = {"kv_handle": f"{random.getrandbits(48):012x}", "token_count": 900, "revision": 1}
            writer.write(message("HTTP/1.1 200 OK", [*self.common(head), ("Content-Type", "application/json")],
                                 json.dumps(handle).encode()))
            await writer.drain()
            return True
        run = Run(self, head)
        self.fleet.runs.append(run)
        try:
            run.how = await self.stream(run, head, reader, writer)
        except (ConnectionError, OSError):
            run.how = "broken off"
        finally:
            run.ended = time.monotonic()
        return run.how == "complete"

    async def stream(self, run, head, reader, writer):
        common = [*self.common(head), ("Response-Seal", f"seal-{run.attempt}")]
        if not await stays(reader, self.first_token_s if head.get("kv-source") else self.read_here_s):
            return "caller left before the first token"
        if random.random() < self.failing_share:
            writer.write(message("HTTP/1.1 500 Internal Server Error", common))
            await writer.drain()
            return "complete"
        lines = ["HTTP/1.1 200 OK", *[f"{name}: {value}" for name, value in common],
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(int(run.after or 0) + 1, self.tokens + 1):
            event = f"id: {number}\ndata: {run.attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < self.tokens and not await stays(reader, self.token_s):
                return "caller left"
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return "complete"


async def stays(reader, seconds):
    """Waits. Returns False as soon as the caller has closed its connection."""
    try:
        return bool(await asyncio.wait_for(reader.read(1), seconds))
    except asyncio.TimeoutError:
        return True
    except (ConnectionError, OSError):
        return False


def client_request(number, tokens, budget_ms=8000):
    """Returns the attempt id and the bytes of a client's request."""
    attempt = f"{number:016x}"
    headers = [("Host", "host.example"), ("Attempt-Id", attempt), ("Time-Budget", str(budget_ms)), ("Model", "m"),
               ("Token-Count", f"900,{tokens}"), ("Prompt-Prefix", f"5c1e07a2:600,{number:x}:300")]
    return attempt, message("POST /p/x HTTP/1.1", headers, b"hello")


class Traffic:
    """Clients that send one request after another, each on a connection that it keeps."""

    def __init__(self, fleet, clients, pause_s, tokens):
        self.fleet, self.pause_s, self.tokens = fleet, pause_s, tokens
        self.number = random.getrandbits(32) << 16
        self.answers = {}
        self.stopping = False
        self.tasks = [asyncio.create_task(self.client(index)) for index in range(clients)]

    async def client(self, index):
        frontend = self.fleet.frontend(index % len(self.fleet.routers))
        while not self.stopping:
            try:
                reader, writer = await connect(frontend)
                while not self.stopping and await self.request(reader, writer):
                    await asyncio.sleep(self.pause_s * random.uniform(0.5, 1.5))
                writer.close()
            except (ConnectionError, OSError):
                await asyncio.sleep(0.05)

    async def request(self, reader, writer):
        self.number += 1
        _, request = client_request(self.number, self.tokens)
        writer.write(request)
        head = await read_head(reader)
        if head is None:
            self.count("closed")
            return False
        complete = True
        if head.get("transfer-encoding"):
            try:
                await reader.readuntil(b"0\r\n\r\n")
            except asyncio.IncompleteReadError:
                complete = False
        else:
            await reader.readexactly(int(head.get("content-length") or 0))
        self.count(head.status if complete else "cut")
        return complete and head.get("connection").lower() != "close"

    def count(self, answer):
        self.answers[answer] = self.answers.get(answer, 0) + 1

    async def stop(self):
        self.stopping = True
        await asyncio.wait(self.tasks, timeout=5)


async def start_version(fleet, engine_class, version, failing_share=0.0):
    """Starts engines of a version beside those that run: one of each phase in each zone. They are cold at first."""
    new = []
    for zone in "abc":
        for phase in ("prefill", "decode"):
            engine = engine_class(fleet, len(fleet.engines), zone, phase)
            engine.version, engine.failing_share = version, failing_share
            engine.become_cold()
            await engine.start()
            fleet.engines.append(engine)
            new.append(engine)
    return new


def runs_by_version(fleet, since):
    counts = {}
    for run in fleet.runs:
        if run.began >= since:
            counts[run.engine.version] = counts.get(run.engine.version, 0) + 1
    return counts
