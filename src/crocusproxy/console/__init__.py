"""Web console in which operators change the configuration.

A home is an instance that dispatches the requests of a service for the others.
A submission is a change of the configuration, appended to a stream of the
platform's log service. Its verdict is accepted or rejected; each accepted
change yields the next generation of the configuration. The base of a change is
the generation that it was made from.

The form field ``seal`` holds the HMAC of a previewed change. The form field
``seen`` holds the digest of the service as it was when its form was opened.
"""
