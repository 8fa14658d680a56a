"""A withdrawal of an evacuation is held up by a cut link and carried out after a newer evacuation was acknowledged."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

ZONE = "hall-b"
CUT_S = 6.0


class Link:
    """The link between the operator and the first controller. While it is cut, it holds bytes; closing loses none."""

    def __init__(self, deployment, index):
        self.deployment, self.target = deployment, deployment.machines[index]
        self.whole = asyncio.Event()
        self.whole.set()
        self.port = 8299

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.target, self.port)

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(self.target, fleet.CONTROL_PORT)

        async def copy(source, target):
            try:
                while data := await source.read(65536):
                    await self.whole.wait()
                    target.write(data)
                    await target.drain()
                await self.whole.wait()
                target.write_eof()
            except (OSError, ConnectionError):
                pass
        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        far_writer.close()
        writer.close()


def order(method):
    return f"{method} /evacuation/{ZONE} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n".encode()


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/")])
    link = Link(deployment, 0)
    await link.start()
    reader, writer = await asyncio.open_connection(deployment.machines[0], link.port)  # the operator keeps it

    async def first(method):
        writer.write(order(method))
        try:
            answer = await asyncio.wait_for(fleet.read_message(reader), 1.0)
        except asyncio.TimeoutError:
            answer = None
        deployment.record.write(f"operator: {method} at the first controller: {answer.status if answer else 'silence'}")
        return answer and answer.status

    async def other(method):
        status = await deployment.call(deployment.machines[1], fleet.CONTROL_PORT, order(method), 1.0)
        deployment.record.write(f"operator: {method} at the second controller: {status}")
        if status != 200:
            raise fleet.CannotRun("an order was not acknowledged")

    if await first("POST") != 200:
        raise fleet.CannotRun("the first evacuation was not acknowledged")
    await asyncio.sleep(1)
    if deployment.trouble:
        deployment.record.write("the link to the first controller is cut")
        link.whole.clear()
    if await first("DELETE") != 200:
        writer.close()  # a second of silence: it goes on to another daemon
        await other("DELETE")
    await asyncio.sleep(1)
    await other("POST")
    acknowledged = time.monotonic()
    await asyncio.sleep(CUT_S - 2)
    link.whole.set()
    deployment.record.write("the link is whole again")
    stop_at = acknowledged + 12
    number = 0
    while time.monotonic() < stop_at:
        attempt = f"c{number:07x}"
        request = (f"POST /lohu930/2f HTTP/1.1\r\nHost: {fleet.HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
                   f"Token-Count: 20,4\r\nPrompt-Prefix: {number + 999:x}:4000\r\nTime-Budget: 3000\r\n"
                   "Content-Length: 4\r\n\r\nbody").encode()
        await deployment.call(deployment.machines[number % 3], fleet.FRONT_PORT, request, 4)
        number += 1
        await asyncio.sleep(0.05)
    late = [arrival for arrival in deployment.arrivals if arrival["engine"].zone == ZONE
            and arrival["at"] > acknowledged + fleet.EVACUATE_MS / 1000]
    return [f"EVAC: {len(late)} requests reached {ZONE} from {late[0]['at'] - acknowledged:.2f} s after the "
            "acknowledgement of its evacuation on"] if late else []


fleet.run(fleet.Fleet, FOLDER, play)
