"""What a node believes of the configuration and of the endpoints, and how it keeps that fresh."""
