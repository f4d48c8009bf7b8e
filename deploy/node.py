"""Starts a node of the gateway on the platform, from the folder that the build has laid out."""

from springbridge_node.gateway.early_signals import ignore_reload
from springbridge_node.gateway.loading import excluded_from_gc

if __name__ == "__main__":
    # Before the other imports: loading them takes long enough for a signal to come.
    ignore_reload()
    with excluded_from_gc():
        from springbridge_platform.main import main
    main()
