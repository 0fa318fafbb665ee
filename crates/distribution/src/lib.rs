//! How list revisions reach every process.
