"""Command-line tool ``plantainctl`` for operators."""
