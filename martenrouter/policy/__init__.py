"""The routing policy's parts: one job a module, without I/O, standard library only."""
