"""Scripts for the engines of a test's fleet."""

from springbridge_standins.http_wire import (
    answer,
)


def scripted(desk=None, model=None):
    """Return scripts for both engines of a service."""
    scripts = {}
    for service, script in (("desk", desk), ("model", model)):
        for number in (1, 2):
            if script is not None:
                scripts[f"i-{service}-{number}"] = (service, script)
    return scripts


def failing_first(first, then):
    """Return a script that two engines share: the first request fails, later ones do not."""
    seen = []

    async def script(request, connection):
        seen.append(request)
        await (first if len(seen) == 1 else then)(request, connection)

    return script


async def plain(request, connection):
    """Answer with a whole body."""
    await connection.send(answer(request.request_id, b"whole"))
