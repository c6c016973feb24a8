"""Codecs of the operators' platform, without I/O: client reqs, engine answers, list of engines,
configuration."""
