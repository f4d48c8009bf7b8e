"""Demo of the class router from table edit to answer: ``make demo``.

Starts the stand-ins and three nodes for each example fleet, sends a request of each class, edits
the table, shows that the edit is in force on every node, and stops everything.
"""

import asyncio
import sys

from springbridge.classes.table.changes import Edit
from springbridge.codes import Code

from springbridge_standins.class_router.caller import Call, Reply, new_id
from springbridge_standins.class_router.world import World, running_world

# Nodes of each fleet; three is the smallest number that keeps a majority when one is lost.
NODES = 3
# Example tables, and the customer on whose behalf requests are sent.
FLEETS = {"findwell.csv": "perth-airport", "archive.csv": "land-registry"}
# Length of each answer; short enough to take about a second.
TOKENS = 24


async def main() -> int:
    """Run the demo for both fleets and return the exit status."""
    succeeded = True
    for example, customer in FLEETS.items():
        print(f"== {example}")
        async with running_world(example, NODES) as world:
            succeeded &= await _request_each_class(world, customer)
            succeeded &= await _change_table(world)
            succeeded &= await _stop_all(world)
    print("the demo went well" if succeeded else "the demo failed")
    return 0 if succeeded else 1


async def _request_each_class(world: World, customer: str) -> bool:
    """Send a request of each class and print the results."""
    succeeded = True
    for key, cells in world.rows.items():
        if not key.startswith("class/"):
            continue
        name = key.removeprefix("class/")
        reply = await _request(world, customer, name, cells["target"])
        succeeded &= reply.whole
        shown = reply.text[:40] if reply.text else "(a service's answer)"
        print(
            f"{name:22} {cells['tier']:9} {reply.code!s:4} whole={reply.whole} "
            f"after {reply.total_s * 1000:6.1f} ms  {shown}"
        )
    return succeeded


async def _request(world: World, customer: str, request_class: str, target: str) -> Reply:
    """Get addresses from one node and send the request to another."""
    key = f"key-{customer}"
    first = next(iter(world.nodes.values()))
    addresses = await world.caller.addresses(first.caller_address, key, request_class)
    if not addresses:
        return Reply()
    chosen = addresses[-1]
    services = {cells["target"] for cells in world.endpoints("service").values()}
    call = Call(
        key=key,
        request_class=request_class,
        prompt=f"A question of class {request_class}.",
        tokens=TOKENS,
        request_id=new_id(chosen),
        service=target if target in services else "",
    )
    return await world.caller.send(chosen.address, call)


async def _change_table(world: World) -> bool:
    """Change a weight and wait until the change is in force on every node."""
    key = next(key for key in world.rows if key.startswith("share/"))
    before = world.rows[key]
    after = {**before, "weight": "7.5"}
    nodes = list(world.nodes.values())
    version = await world.edit(nodes[0], "demo-edit", [Edit(key, before, after)])
    in_force = version > 0 and await world.wait_ready(nodes, version)
    print(f"edit of {key}: version {version}, in force on every node: {in_force}")
    racing = await world.edit(nodes[1], "demo-race", [Edit(key, before, after)])
    print(f"the same edit again, from the old row: {Code(-racing)!r}")
    return in_force and -racing == Code.VERSION_CONFLICT


async def _stop_all(world: World) -> bool:
    """Stop all nodes gracefully; return whether all exited with status 0."""
    statuses = await asyncio.gather(*(world.stop_node(node) for node in world.nodes.values()))
    print(f"exit statuses: {statuses}")
    return not any(statuses)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
