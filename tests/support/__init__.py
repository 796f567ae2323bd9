"""What several test packages share: scripted peers, virtual gateways, stand-ins."""
