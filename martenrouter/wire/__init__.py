"""Codecs without I/O: bytes in, messages out. One file a protocol; nothing of ours is imported here."""
