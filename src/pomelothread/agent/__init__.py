"""The agent process: runs beside one upstream and sends it all its requests."""
