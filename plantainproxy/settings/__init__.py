"""The settings files of the programs: their model, loading and validation."""
