"""Client-side plug-ins for RPC libraries. They use the same engine and decision module as the daemon.

`rpc.grpc` provides a channel for grpc.aio, and `rpc.endpoint` a client endpoint for Twisted. Importing this
package loads neither of them, because each requires its own library.
"""
