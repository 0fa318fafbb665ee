//! Checks the promises over a record of observations.
