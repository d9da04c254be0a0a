"""Tests with real processes, and the scaffolding that starts them."""
