"""A request that crashes servers comes several times at once."""

import asyncio

from review.standins import case, client, plan
from review.standins.client import Attempt
from review.standins.server import Arrival

ZONES = {"zrh-a": "zrh", "zrh-b": "zrh"}
GATEWAYS = 4
SERVERS = 16
CONTACT_S = 3.0
# Times at which the request comes, in seconds after the first time.
COMES_AT_S = (0.0, 5.0, 10.0, 15.0)
# One spell of `retry_abuse`, from the first time on: the copies that a client
# sends at once are the first and three repeats.
ABUSE_S = 5.5
COPIES = 4
RETRIES_MAX = 3
POISON = "/status/poison"


async def play(setting: case.Setting) -> bool:
    """Plays the case; returns whether the rule held."""
    await setting.store.put(
        "op/config",
        plan.configuration(
            [
                plan.route("r-status", "/status/"),
                plan.service(),
                plan.tenant(),
            ]
        ),
    )
    await setting.add_servers(
        SERVERS,
        service=plan.SERVICE,
        zones=list(ZONES),
        crashes_on=POISON,
        back_after_s=3.0,
    )
    await setting.start_gateways()
    # In touch: no disruption for `contactS` after the start.
    await asyncio.sleep(CONTACT_S + 1.0)
    attempts: list[Attempt] = []
    others = asyncio.create_task(_send_others(setting, attempts))
    first_at = setting.now()
    for comes_at_s in COMES_AT_S:
        await asyncio.sleep(first_at + comes_at_s - setting.now())
        is_abused = setting.has_trouble and comes_at_s < ABUSE_S
        copies = COPIES if is_abused else 1
        attempts += await asyncio.gather(
            *(
                client.send(
                    setting.fleet.gateways[i % GATEWAYS].address,
                    POISON,
                    now=setting.now,
                    host=plan.HOST,
                    key=plan.KEY,
                )
                for i in range(copies)
            )
        )
    others.cancel()
    return _judge(setting, attempts)


async def _send_others(setting: case.Setting, attempts: list[Attempt]) -> None:
    """Sends requests of other clients, twenty a second."""

    async def send_one(number: int) -> None:
        gateway = setting.fleet.gateways[number % GATEWAYS]
        attempts.append(
            await client.send(
                gateway.address,
                f"/status/{number}",
                now=setting.now,
                host=plan.HOST,
                key=plan.KEY,
            )
        )

    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            group.create_task(send_one(number))
            await asyncio.sleep(0.05)


def _judge(setting: case.Setting, attempts: list[Attempt]) -> bool:
    record = setting.record
    for attempt in sorted(attempts, key=lambda a: a.sent_at):
        if attempt.target == POISON or attempt.status != 200:
            record.write(
                f"sent {attempt.sent_at:.3f} {attempt.target} id {attempt.id}"
                f" to {attempt.gateway}: {attempt.status}"
                f" at {attempt.ended_at:.3f} {attempt.detail}"
            )
    arrivals: list[Arrival] = sorted(
        (a for server in setting.servers for a in server.arrivals),
        key=lambda a: a.at,
    )
    lost = [a for a in arrivals if a.outcome == "lost in a crash"]
    poison = [a for a in arrivals if a.target == POISON]
    for arrival in poison:
        record.write(
            f"arrived {arrival.at:.3f} at {arrival.server}"
            f" id {arrival.attempt_id}: {arrival.outcome}"
        )
    crashes = [a for a in poison if a.outcome == "crashed the server"]
    record.say(f"servers crashed by the request: {len(crashes)}")
    record.say(f"other requests lost in these crashes: {len(lost)}")
    if len(crashes) < 3:
        record.say("fewer than three crashes")
        return True
    third_at = sorted(a.at for a in crashes)[2]
    late = [a for a in poison if a.at > third_at + CONTACT_S + 0.5]
    record.say(
        f"retries that reached servers later than contactS after the third"
        f" crash: {len(late)}, allowed {RETRIES_MAX}"
    )
    return len(late) <= RETRIES_MAX


if __name__ == "__main__":
    case.main(play, __file__, gateways=GATEWAYS, zones=ZONES)
