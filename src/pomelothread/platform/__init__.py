"""Adapter for the platform: its headers, record formats and store; no decisions."""
