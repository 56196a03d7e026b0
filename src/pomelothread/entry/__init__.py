"""The program that holds waiting requests and relays responses."""
