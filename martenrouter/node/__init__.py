"""The front node of the operators' platform: door, engine client, list watch, and the life of the process."""
