//! Which backend servers may get new work.
