"""Adapter to the users' platform: its settings file, store, documents and headers.

The modules translate between the platform's wire format and ``gateway_api`` and make no
decisions.  The platform's names are used in this package only.
"""
