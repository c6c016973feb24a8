"""Fleets in virtual time: the front's real hands, decisions and module; the stand-ins' engine model; only
sockets are made up."""
