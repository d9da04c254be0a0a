"""The tasks that spread member records between processes."""
