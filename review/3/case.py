"""A zone with a slow prefill engine is evacuated; requests that wait there are sent to its decode engines afterwards."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

EVACUATED = "hall-a"
PROMPT_TOKENS = 45_000
TOKENS_PER_S = 56_900
SLOWDOWN = 8
CLIENTS = 18


class GreyEngine(fleet.Engine):
    """Reads 56.9 tokens in a ms; the prefill engine of `EVACUATED`, one of nine engines, works eight times as slowly."""

    async def prefill(self, request):
        seconds = PROMPT_TOKENS / TOKENS_PER_S
        is_slow = self is self.fleet.engines[0]
        await asyncio.sleep(seconds * SLOWDOWN if is_slow else seconds)


class Deployment(fleet.Fleet):
    engine_class = GreyEngine
    phases = ["prefill", "decode", "decode"]


async def client(deployment, number):
    attempt = f"b{number:07x}"
    machine = deployment.machines[number % len(deployment.machines)]
    request = (f"POST /lohu930/{number} HTTP/1.1\r\nHost: {fleet.HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
               f"Token-Count: {PROMPT_TOKENS},4\r\nPrompt-Prefix: {number + 4096:x}:{PROMPT_TOKENS}\r\n"
               "Time-Budget: 8000\r\nContent-Length: 4\r\n\r\nbody").encode()
    deployment.record.write(f"client sends {attempt} to {machine}")
    status = await deployment.call(machine, fleet.FRONT_PORT, request, 9)
    deployment.record.write(f"client of {attempt}: {status}")


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/", timeout_ms=8000, resumable=False, retry_count=1)])
    deployment.record.write(f"slow by {SLOWDOWN}: {deployment.engines[0].id} in {deployment.engines[0].zone}")
    clients = [asyncio.create_task(client(deployment, number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.3)
    acknowledged = None
    if deployment.trouble:
        status = await deployment.operate("POST", f"/evacuation/{EVACUATED}")
        if status != 200:
            raise fleet.CannotRun(f"the evacuation got {status}")
        acknowledged = time.monotonic()
        deployment.record.write(f"the evacuation of {EVACUATED} is acknowledged")
    await asyncio.gather(*clients)
    if acknowledged is None:
        return []
    late = [arrival for arrival in deployment.arrivals if arrival["engine"].zone == EVACUATED
            and arrival["at"] > acknowledged + fleet.EVACUATE_MS / 1000]
    return [f"EVAC: {arrival['attempt']} reached {arrival['engine'].id} in {EVACUATED} "
            f"{arrival['at'] - acknowledged:.2f} s after the acknowledgement" for arrival in late]


fleet.run(Deployment, FOLDER, play)
