"""The adapter: hosts instances of the decision module on the simulator's wire."""
