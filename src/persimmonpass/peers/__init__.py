"""Links between the daemons: websockets that carry CBOR."""
