"""Runs a node from the directory that build.sh creates."""

from springbridge_node.gateway.early_signals import ignore_reload
from springbridge_node.gateway.loading import excluded_from_gc

if __name__ == "__main__":
    # Before the other imports: they take long enough that a SIGHUP may arrive meanwhile, and its
    # default action would end the process.
    ignore_reload()
    with excluded_from_gc():
        from springbridge_platform.main import main
    main()
