"""Engines whose answers have no length and end with their connection; a router is told to end meanwhile."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

CLIENTS = 12


class UnframedEngine(fleet.Engine):
    async def stream(self, request, writer, common):
        if not self.fleet.trouble:
            return await fleet.Engine.stream(self, request, writer, common)
        common = [(name, value) for name, value in common if name != "Keep-Alive"]
        writer.write(self.stream_head(request, common, [("Connection", "close")]))
        for event in self.fleet.events(request):
            await asyncio.sleep(self.fleet.event_pause_s)
            writer.write(event)
            await writer.drain()
        return False  # the answer is whole; its end is the end of the connection


class Deployment(fleet.Fleet):
    engine_class = UnframedEngine
    event_count = 8
    event_pause_s = 0.15


async def client(deployment, number, connection, cut):
    reader, writer = connection
    attempt = f"a{number:07x}"
    writer.write((f"POST /lohu930/2f HTTP/1.1\r\nHost: {fleet.HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
                  f"Token-Count: 20,8\r\nPrompt-Prefix: aa:10,{attempt}:10\r\nTime-Budget: 3000\r\n"
                  "Content-Length: 4\r\n\r\nbody").encode())
    await writer.drain()
    head = await fleet.read_head(reader)
    body = await reader.read(-1) if not head or "connection" in dict((n.lower(), v) for n, v in head[1]) else b""
    if head and not body:
        try:
            while not body.endswith(b"0\r\n\r\n"):
                data = await reader.read(65536)
                if not data:
                    break
                body += data
        except ConnectionError:
            pass
    complete = bool(head) and body.endswith(b"0\r\n\r\n")
    deployment.record.write(f"client of {attempt}: {head[0] if head else 'no answer'}, {body.count(b'data:')} events, "
                            f"{'complete' if complete else 'the connection ended before the answer was complete'}")
    if not complete:
        cut.append(attempt)


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/", resumable=False, retry_count=1)])
    connections = [await asyncio.open_connection(deployment.machines[0], fleet.FRONT_PORT) for _ in range(CLIENTS)]
    cut = []
    deployment.signal("router-0", signal.SIGTERM)
    await asyncio.sleep(0.2)
    await asyncio.gather(*(client(deployment, number, connection, cut)
                           for number, connection in enumerate(connections)))
    return [f"LOST: {len(cut)} of {CLIENTS} requests got no complete answer: {', '.join(cut)}"] if cut else []


fleet.run(Deployment, FOLDER, play)
