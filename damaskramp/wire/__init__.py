"""Generated protocol buffers and gRPC stubs of the protocols between nodes."""
