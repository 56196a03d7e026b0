"""The platform's list of live and leaving instances, which may lag behind."""
