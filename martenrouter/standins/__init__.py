"""Stand-ins on loopback sockets, written from public specifications: engines, list service, clients; and the
judge."""
