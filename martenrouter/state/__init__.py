"""What a process leaves on disk: traffic records, the last list of engines."""
