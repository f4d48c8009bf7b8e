"""All that decides which engine serves a request at this node, joined."""

from springbridge.membership import Membership
from springbridge.routing.endpoint_choice import Chooser, by_token_cost
from springbridge.routing.endpoint_registry import EngineBoard

from springbridge_node.gateway.peers.coordinator_set import SchedulerSet
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.load_sharing import LoadSharing
from springbridge_node.gateway.peers.remote_selection import AssignmentClient, AssignmentServer
from springbridge_node.gateway.requests.endpoint_selector import EngineSelector


class Scheduling:
    """The choice of engines, with what nodes tell each other for it.

    Attributes:
      loads: Tells of this node's requests at engines.
      selector: Selects the engine of an attempt.
    """

    def __init__(
        self, board: EngineBoard, membership: Membership, chooser: Chooser | None = None
    ) -> None:
        """Join the parts.

        Args:
          chooser: Decides at this node whatever it knows; left out, what suits the knowledge.
        """
        schedulers = SchedulerSet(membership)
        self._server = AssignmentServer(board, chooser or by_token_cost)
        self._client = AssignmentClient(board, schedulers)
        self.loads = LoadSharing(
            board, membership.me.incarnation, schedulers.audience, self._server.heard
        )
        self.selector = EngineSelector(board, self.loads, schedulers, self._client, chooser)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to tell peers and to listen to them."""
        self.loads.connect(datagrams)
        self._server.connect(datagrams)
        self._client.connect(datagrams)
