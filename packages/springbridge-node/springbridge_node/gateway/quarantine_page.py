"""Serves operators what is in quarantine at a node, and releases it at their command."""

from collections.abc import Mapping
from dataclasses import asdict

import orjson

from springbridge_node.gateway.http.small_server import Handler, Reply
from springbridge_node.gateway.requests.quarantine_parts import QuarantineParts

QUARANTINE_PATH = "/quarantine"
RELEASE_PATH = "/quarantine/release"


def quarantine_queries(parts: QuarantineParts) -> Mapping[str, Handler]:
    """Return the handlers of queries by path."""

    def show(query: dict[str, str]) -> Reply:
        return Reply(200, orjson.dumps([asdict(each) for each in parts.quarantined()]))

    return {QUARANTINE_PATH: show}


def quarantine_commands(parts: QuarantineParts) -> Mapping[str, Handler]:
    """Return the handlers of commands by path; the parameter `key` says what to release."""

    def release(query: dict[str, str]) -> Reply:
        found = parts.release(query.get("key", ""))
        return Reply(200, orjson.dumps({"released": found}))

    return {RELEASE_PATH: release}
