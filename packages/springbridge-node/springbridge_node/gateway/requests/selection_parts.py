"""All that decides which endpoint serves a request at this node, joined."""

from springbridge.membership import Membership
from springbridge.routing.endpoint_choice import Chooser, by_token_cost
from springbridge.routing.endpoint_registry import EndpointRegistry

from springbridge_node.gateway.peers.coordinator_set import CoordinatorSet
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.peers.selection_client import SelectionClient
from springbridge_node.gateway.peers.selection_server import SelectionServer
from springbridge_node.gateway.requests.endpoint_selector import EndpointSelector


class SelectionParts:
    """The choice of endpoints, with what nodes tell each other for it.

    Attributes:
      loads: Tells of this node's requests at endpoints.
      selector: Selects the endpoint of an attempt.
    """

    def __init__(
        self, registry: EndpointRegistry, membership: Membership, chooser: Chooser | None = None
    ) -> None:
        """Join the parts.

        Args:
          chooser: Decides at this node whatever it knows; left out, what suits the knowledge.
        """
        coordinators = CoordinatorSet(membership)
        self._server = SelectionServer(registry, chooser or by_token_cost)
        self._client = SelectionClient(registry, coordinators)
        self.loads = LoadSharing(
            registry,
            membership.me.incarnation,
            coordinators.notice_receivers,
            self._server.confirm,
        )
        self.selector = EndpointSelector(registry, self.loads, coordinators, self._client, chooser)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to tell peers and to listen to them."""
        self.loads.connect(datagrams)
        self._server.connect(datagrams)
        self._client.connect(datagrams)
