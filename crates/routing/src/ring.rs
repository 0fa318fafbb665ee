//! Consistent hashing over the servers of a pool.
//!
//! Every entry computes the same ring from the same lists, so all entries map prompts with a common
//! prefix to the same servers. Adding or removing a server remaps only the share of that server.

use cuminlead_types::BackendServerId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::servers::ServerKey;

/// Hash seed of the points on the ring. All entries must use the same seed, so that they map
/// prompts with a common prefix to the same servers.
pub const RING_HASH_SEED: u64 = 0x6375_6d69_6e72_696e;

/// Points of each server on the ring. With eight points, the largest share of a server is about
/// twice the mean; the choice among several candidates evens this out.
const POINTS_PER_SERVER: u64 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    server: ServerKey,
}

/// Hash ring of the servers of a pool.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<Point>,
    members: Vec<ServerKey>,
}

impl HashRing {
    /// Adds a server. Call [`HashRing::finish`] after the last one.
    pub fn add(&mut self, server: ServerKey, id: &BackendServerId) {
        self.members.push(server);
        for number in 0..POINTS_PER_SERVER {
            let seed = RING_HASH_SEED.wrapping_add(number);
            let hash = xxh3_64_with_seed(id.as_str().as_bytes(), seed);
            self.points.push(Point { hash, server });
        }
    }

    /// Sorts the points, which [`HashRing::servers_from`] requires.
    pub fn finish(&mut self) {
        self.points.sort_unstable();
    }

    /// Servers in the order in which they were added.
    pub fn members(&self) -> &[ServerKey] {
        &self.members
    }

    /// Servers in ring order, from the first point at or after a hash and once around the ring. A
    /// server occurs once for each of its points.
    pub fn servers_from(&self, hash: u64) -> impl Iterator<Item = ServerKey> {
        let start = self.points.partition_point(|point| point.hash < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.server)
    }
}
