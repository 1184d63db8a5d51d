"""Command line tool for operators, ``crocusctl``.

A home is an instance that dispatches the requests of a service for the others.
A submission is a change of the configuration, appended to a stream of the
platform's log service. Its verdict is accepted or rejected; each accepted
change yields the next generation of the configuration. The base of a change is
the generation that it was made from.
"""
