"""The operators' configuration: its model, validation, changes and storage."""
