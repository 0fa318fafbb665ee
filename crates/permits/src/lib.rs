//! Single-use permits and idempotency keys.
