//! The routing policies.
//!
//! | module | policy |
//! |---|---|
//! | [`prefix_cost`] | lowest estimated time to first token, with prefix-cache affinity |
//! | [`round_robin`] | servers in turn, without regard to load; two baselines for comparison |
//! | [`least_loaded`] | lowest reported load; baseline for comparison |

pub mod least_loaded;
pub mod prefix_cost;
pub mod round_robin;
