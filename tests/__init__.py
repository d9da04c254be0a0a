"""End-to-end tests that run the real processes and the documented commands."""
