"""Client-side plug-ins for RPC libraries, on the core and the decisions that the daemon has.

`rpc.grpc` is a channel for grpc.aio, `rpc.endpoint` an endpoint for Twisted's libraries. Importing this
package loads neither; each brings its own library.
"""
