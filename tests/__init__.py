"""Tests: small fakes at the interfaces, and processes on loopback."""
