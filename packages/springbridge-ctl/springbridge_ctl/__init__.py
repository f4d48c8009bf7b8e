"""The operators' command line of springbridge."""
