"""Mutants of how streams keep to the version that began them."""

from springbridge_standins.mutants.mutant import LIBRARY, NODE, PLATFORM, Mutant

VERSIONS = f"{PLATFORM}/versions_test.py"
AT_ITS_VERSION = f"{VERSIONS}::test_a_stream_goes_on_at_the_version_that_began_it_and_only_there"

VERSION_MUTANTS = (
    Mutant(
        "the endpoints of other versions are no candidates for a stream that goes on",
        f"{LIBRARY}/routing/eligibility.py",
        "        if not is_of_version(state.entry, version):\n",
        "        if False:\n",
        AT_ITS_VERSION,
    ),
    Mutant(
        "the version of a stream is that of its first event",
        f"{NODE}/gateway/requests/stream_versions.py",
        "progress.version, progress.version_source = chosen.version, VersionSource.ANSWER",
        "pass",
        AT_ITS_VERSION,
    ),
    Mutant(
        "others keep the origin of a stream",
        f"{NODE}/gateway/peers/origin_sharing.py",
        "KEEPERS = 2",
        "KEEPERS = 0",
        AT_ITS_VERSION,
    ),
    Mutant(
        "a stream that goes on is not refused for overload",
        f"{LIBRARY}/routing/selection.py",
        "    if demand.prompt_parts and not tried and version is None:",
        "    if demand.prompt_parts and not tried:",
        AT_ITS_VERSION,
    ),
    Mutant(
        "an id that began streams at two versions resumes neither",
        f"{LIBRARY}/routing/stream_origins.py",
        "    return one if one.version == other.version else AMBIGUOUS",
        "    return one",
        f"{VERSIONS}::test_an_id_that_began_streams_at_two_versions_resumes_neither",
    ),
    Mutant(
        "a stream of unknown origin does not go on while several versions serve",
        f"{LIBRARY}/routing/resumption.py",
        "    return len(versions) == 1 and None not in versions",
        "    return bool(versions)",
        f"{VERSIONS}::test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve",
    ),
    Mutant(
        "a version is recorded before it is used",
        f"{NODE}/gateway/config/version_register.py",
        "        return without_unrecorded(snapshot, self._confirmed)",
        "        return snapshot",
        f"{NODE}/gateway/config/version_register_test.py",
    ),
    Mutant(
        "a record of an earlier era tells nothing",
        f"{LIBRARY}/routing/version_record.py",
        "        return self.record is not None and self.record.era == self.era",
        "        return self.record is not None",
        f"{NODE}/gateway/config/version_register_test.py",
    ),
    Mutant(
        "a change of the version alone is a change of the list",
        f"{LIBRARY}/routing/listed_entries.py",
        '    of_version = started if entry.version is None else f"{started} {entry.version!r}"',
        "    of_version = started",
        f"{LIBRARY}/routing/endpoint_restart_test.py",
    ),
)
