//! What lives for one request: its outcome and the rules for repeating it.
