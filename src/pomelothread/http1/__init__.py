"""HTTP/1.1 on both sides of the gateway, with strict framing."""
