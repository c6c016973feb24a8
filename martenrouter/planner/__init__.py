"""The planner: the process that runs the decisions and speaks to its edge."""
