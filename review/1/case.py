"""Adds to a tally are acknowledged by the only controller that is up, which then loses its disk."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

TALLY = "t3"
DOWN_S = 3.5
MERGE_S = 3.0
RECOVERY_S = 12


class Deployment(fleet.Fleet):
    def kill(self, index, loses_disk=False):
        """Ends a controller with SIGKILL; its disk stays or comes back empty."""
        name = f"keeper-{index}"
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()
        if loses_disk:
            shutil.rmtree(os.path.join(self.temporary, name, "data"))
            self.record.write(f"{name} has lost its disk")

    async def control(self, index, method, path, body=None):
        """One call of an application. Returns the status and the body, or None without an answer in a second."""
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(data)}\r\n"
        head += "Content-Type: application/json\r\n\r\n"

        async def exchange():
            reader, writer = await asyncio.open_connection(self.machines[index], fleet.CONTROL_PORT)
            try:
                writer.write(head.encode() + data)
                return await fleet.read_message(reader)
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return None


async def add(deployment, number, acknowledged):
    """An application of the first zone adds 1; it calls its own zone's controller, then the others."""
    key = f"5c0e7a21d94b{number:04x}"
    for index in range(len(deployment.machines)):
        answer = await deployment.control(index, "POST", f"/tallies/{TALLY}", {"instance_id": key, "actor": 1})
        status = answer and answer.status
        deployment.record.write(f"application: add {key} at keeper-{index}: {status or 'no answer'}")
        if status == 200:
            acknowledged.append(key)
            return
        if status is not None and status < 500 and status != 429:
            return


async def read_all(deployment):
    """The totals that the three controllers answer, asked for until recovery_s is over."""
    totals = {}
    deadline = time.monotonic() + RECOVERY_S
    while len(totals) < len(deployment.machines) and time.monotonic() < deadline:
        for index in range(len(deployment.machines)):
            answer = await deployment.control(index, "GET", f"/tallies/{TALLY}")
            if answer is not None and answer.status == 200:
                totals[index] = json.loads(answer.body)["total"]
        await asyncio.sleep(0.2)
    return totals


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/")])
    acknowledged, number = [], 0
    for _ in range(10):
        await add(deployment, number, acknowledged)
        number += 1
    before = len(acknowledged)
    deployment.record.write(f"{before} adds are acknowledged in calm times")
    await asyncio.sleep(1)
    if deployment.trouble:
        deployment.kill(1)
        deployment.kill(2)
    killed_at = time.monotonic()
    while time.monotonic() < killed_at + DOWN_S - 0.5:
        await add(deployment, number, acknowledged)
        number += 1
        await asyncio.sleep(0.1)
    if deployment.trouble:
        deployment.kill(0, loses_disk=True)
        await asyncio.sleep(0.5)
        for index in (1, 2):
            deployment.start_process("keeper", index, False)
        await asyncio.sleep(1)
        deployment.start_process("keeper", 0, False)
    deployment.record.write(f"{len(acknowledged)} adds are acknowledged in all; everything runs again")
    await asyncio.sleep(RECOVERY_S)
    totals = await read_all(deployment)
    deployment.record.write(f"totals read after recovery_s, {MERGE_S} s and more after the last add: {totals}")
    if not totals:
        raise fleet.CannotRun("no controller answered a read")
    highest = max(totals.values())
    if highest < len(acknowledged):
        return [f"LOST: {len(acknowledged)} adds of 1 were acknowledged, the tally reads {highest}"]
    return []


fleet.run(Deployment, FOLDER, play)
