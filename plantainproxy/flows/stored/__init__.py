"""What processes keep in the store, and how they follow it."""
