"""HTTP/1.1 server and client of the gateway, with strict message framing."""
