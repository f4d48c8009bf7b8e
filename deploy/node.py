"""Starts a node of the gateway on the platform, from the folder that the build has laid out."""

from springbridge_node.gateway.early_signals import ignore_reload
from springbridge_node.gateway.loading import kept_for_good

if __name__ == "__main__":
    # Before the other imports: loading them takes long enough for a signal to come.
    ignore_reload()
    with kept_for_good():
        from springbridge_platform.main import main
    main()
