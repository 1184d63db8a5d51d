"""Command line tool for operators, ``crocusctl``.

A home is an instance that dispatches the requests of a service for the others.
"""
