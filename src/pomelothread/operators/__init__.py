"""The operators: the planning sheet and the command that publishes it."""
