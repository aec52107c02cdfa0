//! Access to the store through peers.
