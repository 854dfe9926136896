"""Steps about a request that crashes servers, on real processes."""

import json

from behave import then, when
from tornado.httpclient import AsyncHTTPClient

# A system prompt of two blocks, so that the request shares all its parts with sound ones.
SYSTEM = "You help salons and donors. ".ljust(128, ".")
DEADLY = "deadly request"


async def fetch(key, address, path, body=None):
    """Return status and content of an answer to the account of a key."""
    response = await AsyncHTTPClient().fetch(
        f"http://{address}{path}",
        method="GET" if body is None else "POST",
        headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
        body=json.dumps(body) if body is not None else None,
        raise_error=False,
    )
    return response.code, json.loads(response.body)


def complete(key, address, text):
    """Send a completion with a text at the end of its prompt."""
    body = {"model": "draft", "prompt": f"{SYSTEM}{text}", "max_tokens": 5}
    return fetch(key, address, "/v1/completions", body)


def look_up(key, address, text):
    """Send a request with a text in its path to a plain service."""
    return fetch(key, address, f"/services/bookings/records/{text.replace(' ', '-')}")


@when(
    "{count:d} requests that crash each {server} and as many sound ones come to all entry hosts in "
    "turn"
)
def crash_servers(context, count, server):
    harness = context.harness
    fleet = harness.fleet
    key = next(iter(fleet.account_keys.values()))
    if server == "engine":
        send, servers = complete, [host.engine for host in fleet.runners]
    else:
        send, servers = look_up, [host.service for host in fleet.service_hosts("bookings")]

    async def run():
        addresses = [host.callers for host in fleet.entry_hosts]
        for address in addresses:
            assert (await send(key, address, "first"))[0] == 200
        before = sum(found.crashes for found in servers)
        for found in servers:
            found.set_faults(crash_text=DEADLY.replace(" ", "-") if send is look_up else DEADLY)
            found.set_faults(crash_s=0.5)
        context.bad, context.sound = [], []
        for number in range(count):
            address = addresses[number % len(addresses)]
            context.bad.append(await send(key, address, DEADLY))
            # Requests that find no server at all are not what this guards against.
            await harness.until(
                lambda: not any(found.is_down for found in servers), "servers are back"
            )
            context.sound.append(await send(key, address, f"sound {number}"))
        context.crashes = sum(found.crashes for found in servers) - before

    harness.run(run())


@then(
    "at most {most:d} of these servers crash, and the last {count:d} such requests are refused as "
    "not run"
)
def check_servers(context, most, count):
    assert 1 <= context.crashes <= most, (context.crashes, context.bad)
    for status, problem in context.bad[-count:]:
        found = (status, problem["type"].rpartition(":")[2], problem["outcome"])
        assert found == (400, "request-blocked", "not-run"), context.bad
