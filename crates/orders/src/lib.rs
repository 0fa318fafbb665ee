//! Fencing numbers, model and role orders.
