//! Stand-ins, demo, load and measuring tools.
