"""Clients send two requests on a connection without waiting for the first answer; their router gets SIGTERM."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet  # noqa: E402

CLIENTS = 6


class Deployment(fleet.Fleet):
    event_count = 20
    event_pause_s = 0.2  # a stream of four seconds, with pauses below gap_target_ms


def request(attempt):
    return (f"POST /lohu930/2f HTTP/1.1\r\nHost: {fleet.HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
            f"Token-Count: 20,20\r\nPrompt-Prefix: aa:10,{attempt}:10\r\nTime-Budget: 8000\r\n"
            "Content-Length: 4\r\n\r\nbody").encode()


class Client:
    def __init__(self, deployment, number):
        self.deployment, self.attempts = deployment, [f"a{number:06x}{place}" for place in (1, 2)]
        self.unanswered = []

    async def connect_and_send(self):
        self.reader, self.writer = await asyncio.open_connection(self.deployment.machines[0], fleet.FRONT_PORT)
        self.writer.write(b"".join(request(attempt) for attempt in self.attempts))
        await self.writer.drain()
        self.sent_at = time.monotonic()
        self.deployment.record.write(f"client sends {' and '.join(self.attempts)} in one write")

    async def read_answers(self):
        for attempt in self.attempts:
            answer = await fleet.read_message(self.reader)
            if answer is not None:
                self.deployment.record.write(f"client of {attempt}: {answer.start_line}, "
                                             f"{answer.body.count(b'data:')} events")
                continue
            after_s = time.monotonic() - self.sent_at
            # A close with unread bytes resets the connection: an ordinary end shows that the request was read.
            was_reset = isinstance(self.reader.exception(), ConnectionError)
            self.deployment.record.write(f"client of {attempt}: the connection {'was reset' if was_reset else 'ended'} "
                                         f"without an answer, {after_s:.2f} s after its last byte was sent")
            if not was_reset and after_s > fleet.LOSS_SLACK_MS / 1000:
                self.unanswered.append(attempt)
            return


async def play(deployment):
    await deployment.start([fleet.route("r-1", "/lohu930/", timeout_ms=8000, resumable=False, retry_count=1)])
    clients = [Client(deployment, number) for number in range(CLIENTS)]
    for client in clients:
        await client.connect_and_send()
    await asyncio.sleep(0.5)
    if deployment.trouble:
        deployment.signal("router-0", signal.SIGTERM)
    await asyncio.gather(*(client.read_answers() for client in clients))
    unanswered = [attempt for client in clients for attempt in client.unanswered]
    if unanswered:
        return [f"LOST: {len(unanswered)} requests that the router had read got no answer: {', '.join(unanswered)}"]
    return []


fleet.run(Deployment, FOLDER, play)
