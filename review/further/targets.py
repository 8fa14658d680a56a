"""Rude peers send request targets that violate HTTP or admit two readings; such requests must get 400."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

TARGETS = [
    ("ad000001", "/lohu930/a#b", "UNASKED: a fragment is no part of a request target; the path that ran is not the one sent"),
    ("ad000002", "http://other.example/lohu930/1", "ROUTE: by its target the request is for a host without a route"),
]


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/")])
    broken = []
    for attempt, target, what in TARGETS:
        if not deployment.trouble:
            target = target.replace("#b", "").replace("other.example", fleet.HOST)
        request = (f"POST {target} HTTP/1.1\r\nHost: {fleet.HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
                   f"Token-Count: 20,4\r\nPrompt-Prefix: aa:10,{attempt}:10\r\nTime-Budget: 3000\r\n"
                   "Content-Length: 4\r\n\r\nbody").encode()
        status = await deployment.call(deployment.machines[0], fleet.FRONT_PORT, request, 3)
        deployment.record.write(f"client sends {attempt} for {target}: {status}")
        has_run = any(arrival["attempt"] == attempt and not arrival["prefill"] for arrival in deployment.arrivals)
        if not deployment.trouble and not has_run:
            raise fleet.CannotRun("a sound request was not served")
        if deployment.trouble and has_run:
            broken.append(f"{what} ({target}, status {status})")
    return broken


fleet.run(fleet.Fleet, FOLDER, play)
