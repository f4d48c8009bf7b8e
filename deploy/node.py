"""Starts a node on the users' platform from the folder that the build has laid out."""

from springbridge_platform.main import main

if __name__ == "__main__":
    main()
