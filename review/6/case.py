"""Engines run requests with another query or another body than the client's, in rarer forms that HTTP allows."""

import asyncio
import gzip
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))

from stand import (BROKEN, HELD, TROUBLE, CannotRun, Fleet, config, connect, read_body, read_head, route, run_case)

HOST = "host.example"
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "places"]
REQUESTS = 12
BODY = b"a body of the client, " * 20


def chunked(content):
    """Returns content in chunks of 100 bytes."""
    parts = [content[start:start + 100] for start in range(0, len(content), 100)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def target_form(query):
    """The target http://HOST?QUERY: by RFC 3986, 6.2.3, the same as http://HOST/?QUERY."""
    target = f"http://{HOST}?{query}" if TROUBLE else f"http://{HOST}/?{query}"
    head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(BODY)}\r\n"
    return head, BODY, f"/?{query}"


def coding_form(query):
    """A body with two transfer codings: by RFC 9112, 6.1 and 7, the body is what is left once both are taken off."""
    coding, content = ("gzip, chunked", gzip.compress(BODY)) if TROUBLE else ("chunked", BODY)
    head = f"POST /?{query} HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: {coding}\r\n"
    return head, chunked(content), f"/?{query}"


async def request(fleet, attempt, head, content):
    """Sends a request on a connection of its own. Returns the status, or "closed"."""
    reader, writer = await connect(fleet.frontend(attempt % len(fleet.routers)))
    try:
        head += f"Attempt-Id: {attempt:016x}\r\nTime-Budget: 3000\r\n\r\n"
        writer.write(head.encode() + content)
        answer = await asyncio.wait_for(read_head(reader), 5)
        if answer is None:
            return "closed"
        await read_body(reader, answer)
        return answer.status
    finally:
        writer.close()


async def case(record):
    fleet = Fleet(record, routers=3, engines=[(zone, "") for zone in "abc"], contracts=CONTRACTS)
    broken = False
    attempt = 0
    try:
        await fleet.start(config([route(prefix="/", route_type="idempotent", persistent=False)]))
        for form in (target_form, coding_form):
            asked, answers = {}, {}
            for _ in range(REQUESTS):
                attempt += 1
                head, content, path = form(f"number={attempt}")
                asked[f"{attempt:016x}"] = path
                status = await request(fleet, attempt, head, content)
                answers[status] = answers.get(status, 0) + 1
            record(f"clients: {REQUESTS} requests like {head.splitlines()[0]!r}, {head.splitlines()[-1]!r}, "
                   f"{len(content)} bytes on the wire: answers {answers}")
            runs = [(run_head, body) for _, _, run_head, body in fleet.runs if run_head.get("attempt-id") in asked]
            changed = []
            for run_head, body in runs:
                path, coding = run_head.first_line.split(" ")[1], run_head.get("transfer-encoding")
                if path != asked[run_head.get("attempt-id")]:
                    changed.append(f"path and query {path!r} instead of {asked[run_head.get('attempt-id')]!r}")
                elif body != BODY and "gzip" not in coding:
                    changed.append(f"body of {len(body)} bytes, {body[:4].hex()}..., no transfer coding named, instead of "
                                   f"{len(BODY)} bytes, {BODY[:4].hex()}...")
            record(f"engines: {len(runs)} requests run, {len(changed)} of them changed"
                   + (f", such as: {changed[0]}" if changed else ""))
            broken = broken or bool(changed)
        if not TROUBLE and len(fleet.runs) < 2 * REQUESTS:
            raise CannotRun("not all requests ran")
        return BROKEN if broken else HELD
    finally:
        await fleet.stop()


run_case(case, HERE)
