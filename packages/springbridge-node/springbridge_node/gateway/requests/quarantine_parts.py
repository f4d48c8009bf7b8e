"""Wires the parts that keep requests that crash endpoints away from them.

See quarantine_gate.py.
"""

from collections.abc import Callable

from springbridge.crash_records import CrashRecords, CrashReport
from springbridge.membership import Membership
from springbridge.quarantine import Quarantine, Standing
from springbridge.routing.endpoint_registry import EndpointRegistry

from springbridge_node.clock import now_s
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.config.stored_quarantine import StoredQuarantine
from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation
from springbridge_node.gateway.peers.crash_sharing import CrashSharing
from springbridge_node.gateway.peers.datagrams import PeerDatagrams
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators
from springbridge_node.gateway.peers.trial_permits import TrialPermits
from springbridge_node.gateway.requests.quarantine_gate import GateParts, QuarantineGate
from springbridge_node.gateway.requests.quarantine_log import QuarantineLog
from springbridge_node.gateway.telemetry import Telemetry


class QuarantineParts:
    """The parts of the quarantine.

    Attributes:
      sharing: Shares crash records with peers; its beat is to be called at each heartbeat.
      stored: Keeps the quarantine in the store; its step is to be called periodically.
      gate: Decides before each attempt whether it may be made.
    """

    def __init__(
        self,
        membership: Membership,
        registry: EndpointRegistry,
        confirmation: CrashConfirmation,
        store: PlatformStore,
        readers: StoreReaders,
        telemetry: Telemetry,
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Create and connect the parts."""
        self._records = CrashRecords(clock)
        self._quarantine = Quarantine(self._records)
        coordinators = TrialCoordinators(membership)
        self.sharing = CrashSharing(self._records, membership, coordinators)
        self._permits = TrialPermits(
            self._quarantine,
            self.sharing,
            coordinators,
            lambda service: len(registry.candidates(service, ())),
        )
        self.stored = StoredQuarantine(store, readers, self._records, self._adopt)
        self.gate = QuarantineGate(
            GateParts(
                membership.me.incarnation,
                self._quarantine,
                self.sharing,
                self._permits,
                confirmation,
                self.stored,
                QuarantineLog(telemetry),
            )
        )

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to exchange crash records and trials with peers."""
        self.sharing.connect(datagrams)
        self._permits.connect(datagrams)

    def quarantined_count(self) -> int:
        """Return how many requests are in quarantine."""
        verdicts = (self._quarantine.verdict(each.fingerprint) for each in self._records.all())
        return sum(found.standing is Standing.QUARANTINED for found in verdicts)

    def _adopt(self, record: CrashReport) -> None:
        """Merge a record read from the store and share it with peers."""
        self._records.merge(record)
        self.sharing.share(record.fingerprint, "", was_known=True)
