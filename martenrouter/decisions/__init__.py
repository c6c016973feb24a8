"""Choices of what surrounds the module: no I/O, no clock, no sockets; time, events and chance are handed
in."""
