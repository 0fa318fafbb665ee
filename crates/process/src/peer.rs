//! The tonic service that hands lists to other processes.
