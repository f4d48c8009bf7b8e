"""Builds a node with the HTTP adapters for its platform."""

import time

from springbridge_node.class_router.class_node import Node
from springbridge_node.class_router.config.instance_list import HttpInstanceList
from springbridge_node.class_router.config.table_store import HttpTableStore
from springbridge_node.class_router.endpoints.endpoint_http import make_client
from springbridge_node.class_router.serve_settings import Settings


def make_node(settings: Settings) -> Node:
    """Return a node; nothing runs yet."""
    client = make_client()
    store = HttpTableStore(settings.table_address, client, time.time)
    listing = HttpInstanceList(settings.list_address, client)
    return Node(settings, store, listing)
