//! Calls between peers.
