"""The entry program on the users' platform.

An entry process accepts callers' requests on its VM, chooses an upstream for
each, sends it there and passes the answer back. Upstreams are the heads of
replica groups and the instances of plain services.
"""
