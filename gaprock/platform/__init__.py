"""The users' platform: settings file, store, documents and headers.

Everything here translates between the platform's wire and ``gateway_api``; nothing here
decides.  The platform's names stand in this folder only.
"""
