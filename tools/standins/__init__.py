"""Small stand-ins for what the system serves and runs on."""
