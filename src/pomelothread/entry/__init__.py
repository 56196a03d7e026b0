"""The entry process: queues callers' requests and relays the responses."""
