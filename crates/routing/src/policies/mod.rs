//! The policies.
//!
//! | module | policy |
//! |---|---|
//! | [`prefix_cost`] | lowest estimated time to first token among servers that may hold the prefix |
//! | [`round_robin`] | one server after the other; baselines for comparison |
//! | [`least_loaded`] | lowest reported load; baseline for comparison |

pub mod least_loaded;
pub mod prefix_cost;
pub mod round_robin;
