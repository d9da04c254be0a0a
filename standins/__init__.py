"""Small stand-ins for the systems that plantainproxy meets."""
