"""The system's own other processes: control messages, sockets and dispatch."""
