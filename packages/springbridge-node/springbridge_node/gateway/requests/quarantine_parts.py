"""Wires what keeps requests and parts of prompts that crash endpoints away from them.

See crash_gate.py.
"""

from collections.abc import Callable
from dataclasses import dataclass

from springbridge.crash_records import CrashRecord, CrashRecords, CrashReport
from springbridge.membership import Membership
from springbridge.part_quarantine import MAX_PART_RECORDS, PartQuarantine
from springbridge.prompt_parts import is_part_key
from springbridge.quarantine import Quarantine, Standing
from springbridge.recent_successes import RecentSuccesses
from springbridge.routing.endpoint_registry import EndpointRegistry

from springbridge_node import logs
from springbridge_node.clock import now_s
from springbridge_node.gateway.config.platform_store import PlatformStore
from springbridge_node.gateway.config.store_readers import StoreReaders
from springbridge_node.gateway.config.stored_quarantine import StoredQuarantine
from springbridge_node.gateway.endpoints.crash_confirmation import CrashConfirmation
from springbridge_node.gateway.peers.crash_sharing import (
    MAX_RESENT_PARTS,
    PART_RESEND_S,
    CrashSharing,
)
from springbridge_node.gateway.peers.datagrams import Kind, PeerDatagrams
from springbridge_node.gateway.peers.part_permits import PartPermits
from springbridge_node.gateway.peers.trial_coordination import TrialCoordinators
from springbridge_node.gateway.peers.trial_permits import TrialPermits
from springbridge_node.gateway.requests.crash_gate import CrashGate
from springbridge_node.gateway.requests.part_gate import PartGate, PartGateParts
from springbridge_node.gateway.requests.part_log import PartLog
from springbridge_node.gateway.requests.quarantine_gate import GateParts, QuarantineGate
from springbridge_node.gateway.requests.quarantine_log import QuarantineLog
from springbridge_node.gateway.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A request, or a set of parts of prompts, that is kept from endpoints.

    Attributes:
      keys: Fingerprint of the request, or keys of the parts, one of which is the cause.
      crashes: Number of crashes that count against it.
      trial_due_in_s: Seconds until its next trial may start.
    """

    keys: tuple[str, ...]
    crashes: int
    trial_due_in_s: float


class QuarantineParts:
    """The components of the quarantine.

    Attributes:
      sharing: Shares the crash records of requests with peers.
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
        """Create and connect the components."""
        self._records = CrashRecords(clock)
        self._part_records = CrashRecords(clock, MAX_PART_RECORDS)
        self._quarantine = Quarantine(self._records)
        successes = RecentSuccesses(clock)
        self._part_quarantine = PartQuarantine(self._part_records, self._records, successes.last_s)
        coordinators = TrialCoordinators(membership)
        self.sharing = CrashSharing(self._records, membership, coordinators)
        self._part_sharing = CrashSharing(
            self._part_records,
            membership,
            coordinators,
            kind=Kind.PART_CRASHES,
            succeeded_s=successes.last_s,
            resend_s=PART_RESEND_S,
            max_resent=MAX_RESENT_PARTS,
        )

        def endpoint_count(service: str) -> int:
            return len(registry.candidates(service, ()))

        part_permits = PartPermits(
            self._part_quarantine, self._part_sharing, coordinators, endpoint_count
        )
        self._permits = TrialPermits(
            self._quarantine, self.sharing, coordinators, endpoint_count, part_permits
        )
        self.stored = StoredQuarantine(store, readers, self._find, self._adopt)
        requests = GateParts(
            membership.me.incarnation,
            self._quarantine,
            self.sharing,
            self._permits,
            self.stored,
            QuarantineLog(telemetry),
        )
        parts = PartGateParts(
            membership.me.incarnation,
            self._part_quarantine,
            successes,
            self._part_sharing,
            part_permits,
            self.stored,
            PartLog(telemetry),
        )
        self.gate = CrashGate(QuarantineGate(requests), PartGate(parts), confirmation)

    def connect(self, datagrams: PeerDatagrams) -> None:
        """Begin to exchange crash records and trials with peers."""
        self.sharing.connect(datagrams)
        self._part_sharing.connect(datagrams)
        self._permits.connect(datagrams)

    async def beat(self) -> None:
        """Send peers what is new; to be called at each heartbeat."""
        await self.sharing.beat()
        await self._part_sharing.beat()

    def suspects(self) -> list[CrashReport]:
        """Return the records of all suspects, which a node that starts needs."""
        return [*self.sharing.suspects(), *self._part_sharing.suspects()]

    def merge(self, record: CrashReport) -> None:
        """Merge a record that a peer has sent to this node as it starts."""
        self._sharing_of(record.fingerprint).merge(record)

    def quarantined(self) -> list[Quarantined]:
        """Return what is in quarantine, requests first."""
        now_s = self._records.now_s()
        names = [each.fingerprint for each in self._records.all()]
        requests = [
            Quarantined((name,), found.crashes, found.trial_due_s - now_s)
            for name in names
            if (found := self._quarantine.verdict(name)).standing is Standing.QUARANTINED
        ]
        sets = {each.suspects for each in self._part_quarantine.quarantined()}
        verdicts = ((keys, self._part_quarantine.verdict(keys)) for keys in sets)
        return requests + [
            Quarantined(tuple(sorted(keys)), found.crashes, found.due_s - now_s)
            for keys, found in verdicts
        ]

    def release(self, key: str) -> bool:
        """Clear a request or a part of all crashes, at all nodes; return whether it had any."""
        record = self._find(key)
        if record is None or not record.counted:
            return False
        records = self._part_records if is_part_key(key) else self._records
        records.acquit(key)
        self._sharing_of(key).share(key, "", was_known=True)
        self.stored.left(key)
        logs.event("quarantine.released", key=key, crashes=len(record.counted))
        return True

    def quarantined_count(self) -> int:
        """Return how many requests are in quarantine."""
        verdicts = (self._quarantine.verdict(each.fingerprint) for each in self._records.all())
        return sum(found.standing is Standing.QUARANTINED for found in verdicts)

    def quarantined_part_sets(self) -> int:
        """Return how many sets of parts are in quarantine."""
        return len({each.suspects for each in self._part_quarantine.quarantined()})

    def _sharing_of(self, key: str) -> CrashSharing:
        return self._part_sharing if is_part_key(key) else self.sharing

    def _find(self, key: str) -> CrashRecord | None:
        """Return the record of a request or of a part, or None if there is none."""
        return (self._part_records if is_part_key(key) else self._records).find(key)

    def _adopt(self, record: CrashReport) -> None:
        """Merge a record read from the store and share it with peers."""
        records = self._part_records if is_part_key(record.fingerprint) else self._records
        records.merge(record)
        self._sharing_of(record.fingerprint).share(record.fingerprint, "", was_known=True)
