"""Wires the endpoint selection of this instance to the load that the instances share.

Owns the selector, the shared load, and both sides of remote selection: the client that sends
selections to coordinators, and the server that answers them while this instance is one.
"""

from springbridge.membership import Membership
from springbridge.rates.rate_table import RateTable
from springbridge.routing.endpoint_choice import by_token_cost
from springbridge.routing.endpoint_registry import EndpointRegistry

from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.peers.selection_client import SelectionClient
from springbridge_node.gateway.peers.selection_server import SelectionServer
from springbridge_node.gateway.requests.endpoint_selector import EndpointSelector


class SelectionParts:
    """The parts that select endpoints.

    Attributes:
      loads: Counts this instance's attempts at endpoints and shares them with peers.
      selector: Selects the endpoint of an attempt.
    """

    def __init__(
        self, registry: EndpointRegistry, membership: Membership, rates: RateTable
    ) -> None:
        """Create and connect the parts."""
        coordinators = CoordinatorSet(membership)
        self._server = SelectionServer(registry, by_token_cost, has_rate=rates.is_limited)
        self._client = SelectionClient(registry, coordinators)
        self.loads = LoadSharing(
            registry,
            membership.me.incarnation,
            coordinators.notice_receivers,
            self._server.confirm,
        )
        self.selector = EndpointSelector(registry, self.loads, coordinators, self._client)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to exchange load and remote selections with peers."""
        self.loads.connect(datagrams)
        self._server.connect(datagrams)
        self._client.connect(datagrams)
