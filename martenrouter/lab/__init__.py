"""The laboratory: days with their failures, played on sockets (and later in virtual time), and what came of
them."""
