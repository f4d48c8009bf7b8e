"""What a node believes of the configuration and of the engines, and how it keeps that fresh."""
