"""Starts a node on the users' platform from the folder that the build has laid out."""

from springbridge_node.gateway.early_signals import ignore_reload

if __name__ == "__main__":
    ignore_reload()
    from springbridge_platform.main import main

    main()
