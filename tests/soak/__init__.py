"""A randomized fault soak of front nodes as real processes; `python -m tests.soak.soak` runs it."""
