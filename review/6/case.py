"""Kept connections go on under the limits of the configuration that was in force when they were opened."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))

from stand import (BROKEN, HELD, LIMITS, TROUBLE, CannotRun, Fleet, config, connect, message, read_body, read_head,
                   route, run_case)

ENGINES = [(zone, "") for zone in "abc"]
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "places"]
CONNECTIONS = 24
CONVERGE_S = 2.0
OLD_LIMIT, NEW_LIMIT = 16384, 65536
# Length of one header of the longer requests: their head is over the old limit and well below the new one.
LONG_HEADER = 30000


class Client:
    """A client with one connection that it keeps."""

    sent = 0

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, fleet, index):
        return cls(*await connect(fleet.frontend(index % len(fleet.routers))))

    async def request(self, header_length):
        Client.sent += 1
        attempt = f"{Client.sent:016x}"
        self.writer.write(message("POST /p/x HTTP/1.1", [
            ("Host", "host.example"), ("Attempt-Id", attempt), ("Time-Budget", "3000"),
            ("X-Context", "z" * header_length)], b"hello"))
        head = await asyncio.wait_for(read_head(self.reader), 5)
        if head is None:
            return "closed"
        await read_body(self.reader, head)
        return head.status


def summary(answers):
    return {answer: answers.count(answer) for answer in sorted(set(answers), key=str)}


async def case(record):
    fleet = Fleet(record, routers=3, engines=ENGINES, contracts=CONTRACTS)
    limits = {**LIMITS, "max_header_bytes": OLD_LIMIT if TROUBLE else NEW_LIMIT}
    routes = [route(route_type="idempotent", persistent=False)]
    try:
        await fleet.start(config(routes, limits))
        clients = [await Client.open(fleet, index) for index in range(CONNECTIONS)]
        for _ in range(3):
            answers = [await client.request(100) for client in clients]
            await asyncio.sleep(0.5)
        record(f"clients: short requests on {CONNECTIONS} connections, three on each: {summary(answers)} the last time")
        if TROUBLE:
            await fleet.put_config(config(routes, {**limits, "max_header_bytes": NEW_LIMIT}))
        acknowledged = time.monotonic()
        record(f"operator: max_header_bytes {NEW_LIMIT} is acknowledged")
        await asyncio.sleep(CONVERGE_S + 1.5)
        kept = [await client.request(LONG_HEADER) for client in clients]
        record(f"clients: requests with a head of {LONG_HEADER} bytes on the kept connections, sent "
               f"{time.monotonic() - acknowledged:.1f} s after the acknowledgement: {summary(kept)}")
        new = [await (await Client.open(fleet, index)).request(LONG_HEADER) for index in range(CONNECTIONS)]
        record(f"clients: the same on new connections to the same routers: {summary(new)}")
        record(f"engines: {len(fleet.runs)} of {Client.sent} requests ran")
        denied = (kept + new).count(431)
        allowed = 5 + Client.sent / 500
        record(f"clients: {denied} proper requests ended with 431; the rule allows {allowed:.1f} of {Client.sent}")
        if any(answer not in (200, 431) for answer in kept + new):
            raise CannotRun("other answers than expected")
        return BROKEN if denied > allowed else HELD
    finally:
        await fleet.stop()


run_case(case, HERE)
