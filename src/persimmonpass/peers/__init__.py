"""Links between daemons: WebSocket connections that carry CBOR frames."""
