//! Leases, queue, fair share and output retention of an agent.
