"""A configuration raises `max_header_bytes`; connections that clients kept go on refusing what only the old one refuses."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

CLIENTS = 12
OLD_LIMIT, NEW_LIMIT = 4096, 16384
HEAD_BYTES = 8000


class Deployment(fleet.Fleet):
    first_header_limit = OLD_LIMIT

    def configuration_with(self, routes):
        configuration = fleet.Fleet.configuration_with(routes)
        configuration["limits"]["max_header_bytes"] = OLD_LIMIT if self.trouble else NEW_LIMIT
        return configuration


def request(attempt, padding=0):
    extra = f"X-Context: {'x' * padding}\r\n" if padding else ""
    return (f"POST /lohu930/2f HTTP/1.1\r\nHost: {fleet.HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
            f"Token-Count: 20,4\r\nPrompt-Prefix: aa:10,{attempt}:10\r\nTime-Budget: 3000\r\n{extra}"
            "Content-Length: 4\r\n\r\nbody").encode()


async def ask(deployment, number, connection, attempt, padding=0):
    reader, writer = connection
    try:
        writer.write(request(attempt, padding))
        await writer.drain()
        answer = await asyncio.wait_for(fleet.read_message(reader), 5)
    except (ConnectionError, asyncio.TimeoutError):
        answer = None
    deployment.record.write(f"client {number}: {attempt} {answer.start_line if answer else 'no answer'}")
    return answer and answer.status


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/")])
    connections = [await asyncio.open_connection(deployment.machines[number % 3], fleet.FRONT_PORT)
                   for number in range(CLIENTS)]
    for number, connection in enumerate(connections):
        if await ask(deployment, number, connection, f"e{number:03x}0001") != 200:
            raise fleet.CannotRun("an ordinary request was not served")
    configuration = dict(deployment.configuration, revision=7)
    configuration["limits"] = dict(configuration["limits"], max_header_bytes=NEW_LIMIT)
    if await deployment.operate("PUT", "/config", configuration, 5) != 200:
        raise fleet.CannotRun("the second configuration was not acknowledged")
    deployment.record.write(f"version 7 is acknowledged: max_header_bytes {NEW_LIMIT}")
    await asyncio.sleep(4)  # twice converge_ms
    refused = [number for number, connection in enumerate(connections)
               if await ask(deployment, number, connection, f"e{number:03x}0002", HEAD_BYTES) == 431]
    fresh = await asyncio.open_connection(deployment.machines[0], fleet.FRONT_PORT)
    status = await ask(deployment, "new", fresh, "e0ff0001", HEAD_BYTES)
    if status != 200:
        raise fleet.CannotRun(f"a new connection got {status}")
    if len(refused) > 5:
        return [f"CONFIG: {len(refused)} of {CLIENTS} requests, sent 4 s after the acknowledgement of version 7, were "
                "refused with 431 as only version 5 allows"]
    return []


fleet.run(Deployment, FOLDER, play)
