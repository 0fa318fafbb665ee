//! Plans and allowances: parts, checking, snapshots and deltas; and the platform's host list.
//!
//! | module | holds |
//! |---|---|
//! | [`lists`] | the checked lists in force and the questions asked of them |
//! | [`hosts`] | the platform's list of live and leaving hosts |

pub mod hosts;
pub mod lists;

pub use hosts::*;
pub use lists::*;
