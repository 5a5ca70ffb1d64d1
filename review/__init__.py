"""Cases of an independent review: scripts and days, not part of the tests."""
