//! Election of readers, and the peers that a process may follow.
//!
//! A platform with several replicas may serve an old revision to some readers and report that
//! nothing changed. Readers therefore follow each other: the first reader of a zone follows the
//! second, the second follows the first reader of the next zone, which forms a ring, and the other
//! readers of a zone follow the first two. It is enough that one reader gets the newest revision.
//!
//! Rendezvous hashing needs no agreement protocol: processes with the same host list elect the same
//! readers, and a changed host affects the election in its own zone only. Processes with different
//! host lists may follow a host that is not a reader. Its confirmation then becomes too old, and
//! they try other peers.

use cuminlead_lists::{HostEntry, HostList, HostState};
use cuminlead_types::{AvailabilityZoneName, HostId, RegionName};
use xxhash_rust::xxh3::Xxh3;

use crate::limits::{READERS_COUNT, STANDBYS_COUNT, readers_count};

/// Hash seed of the election; the same in all processes so that they elect the same readers.
pub const READER_SEED: u64 = 0x7265_6164_6572_7331;
/// Hash seed of the order in which a process tries peers, so that followers spread over the
/// readers.
pub const ORDER_SEED: u64 = 0x6f72_6465_7270_6565;

/// Host and location of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Host on which the process runs.
    pub host: HostId,
    /// Region of the host; peers in it are tried before those of other regions.
    pub region: RegionName,
    /// Availability zone of the host, in which the election takes place.
    pub zone: AvailabilityZoneName,
}

/// Process that can be followed or queried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Host on which the process runs.
    pub host: HostId,
    /// IP address and port of the process.
    pub address: String,
}

impl From<&HostEntry> for Peer {
    fn from(entry: &HostEntry) -> Self {
        Self {
            host: entry.host.clone(),
            address: entry.address.clone(),
        }
    }
}

/// Peers that one process may follow, and its own part in the election.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    /// In the order in which they are tried: readers of this process's zone, standbys of its zone,
    /// readers of other zones. A reader of another zone that is the only primary comes first.
    pub peers: Vec<Peer>,
    /// Number of preferred peers at the start of `peers`. A follower prefers two readers of its
    /// zone; a reader prefers the next reader of the ring or the first two of its zone; if its zone
    /// has no other reader, a process prefers readers of other zones.
    pub primaries_count: usize,
    /// Rank of this process among the hosts of its zone, from 0; absent if it is neither reader nor
    /// standby.
    pub own_rank: Option<usize>,
    /// Number of readers in the zone of this process, which may be one of them.
    pub readers_count: usize,
}

impl Candidates {
    /// Preferred peers.
    pub fn primaries(&self) -> &[Peer] {
        &self.peers[..self.primaries_count]
    }

    /// Whether this process is a reader and always watches the lists.
    pub fn is_reader(&self) -> bool {
        self.own_rank.is_some_and(|rank| rank < self.readers_count)
    }

    /// Whether this process always reads the host list, even while a peer has a confirmed one.
    pub fn is_hosts_reader(&self) -> bool {
        self.own_rank.is_some_and(|rank| rank < READERS_COUNT)
    }

    /// Whether this process watches the platform only while it finds no confirmed reader.
    pub fn is_standby(&self) -> bool {
        self.own_rank.is_some_and(|rank| rank >= self.readers_count)
    }
}

/// Readers of a zone, highest rank first.
pub fn readers_of_zone<'a>(list: &'a HostList, zone: &AvailabilityZoneName) -> Vec<&'a HostEntry> {
    let mut hosts = ranked_hosts(list, zone);
    hosts.truncate(readers_count(hosts.len()));
    hosts
}

/// Live hosts of a zone, highest rank first.
fn ranked_hosts<'a>(list: &'a HostList, zone: &AvailabilityZoneName) -> Vec<&'a HostEntry> {
    let live = |entry: &&HostEntry| entry.zone == *zone && entry.state == HostState::Live;
    let mut hosts: Vec<_> = list.hosts.iter().filter(live).collect();
    hosts.sort_by_cached_key(|entry| {
        let score = hash(READER_SEED, zone.as_str(), &entry.host);
        Score {
            score,
            host: &entry.host,
        }
    });
    hosts
}

/// Sort key of the election; the host breaks ties.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Score<'a> {
    score: u64,
    host: &'a HostId,
}

fn hash(seed: u64, scope: &str, host: &HostId) -> u64 {
    let mut hasher = Xxh3::with_seed(seed);
    hasher.update(scope.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    hasher.digest()
}

/// Determines the peers of a process from the host list.
pub fn candidates(list: &HostList, local: &Identity) -> Candidates {
    let mut ranked = ranked_hosts(list, &local.zone);
    let readers_count = readers_count(ranked.len());
    ranked.truncate(readers_count + STANDBYS_COUNT);
    let own_rank = ranked.iter().position(|entry| entry.host == local.host);
    let (readers, standbys) = ranked.split_at(ranked.len().min(readers_count));
    let is_reader = own_rank.is_some_and(|rank| rank < readers_count);
    // Readers follow the first two, which are in the ring; other processes spread over all readers.
    let followed = if is_reader {
        &readers[..readers.len().min(READERS_COUNT)]
    } else {
        readers
    };
    let mut peers = peers_of(followed, local);
    let zone_readers_count = peers.len().min(READERS_COUNT);
    peers.extend(peers_of(standbys, local));
    peers.extend(peers_of(&readers_of_other_zones(list, local), local));
    let primaries_count = match zone_readers_count {
        0 => peers.len().min(READERS_COUNT),
        count => count,
    };
    let mut candidates = Candidates {
        peers,
        primaries_count,
        own_rank,
        readers_count,
    };
    if own_rank == Some(READERS_COUNT - 1) {
        set_only_primary(&mut candidates, first_reader_of_next_zone(list, local));
    }
    candidates
}

/// Moves one peer to the front as the only primary.
fn set_only_primary(candidates: &mut Candidates, preferred: Option<&HostEntry>) {
    let Some(preferred) = preferred.map(Peer::from) else {
        return;
    };
    candidates.peers.retain(|peer| *peer != preferred);
    candidates.peers.insert(0, preferred);
    candidates.primaries_count = 1;
}

/// First reader of the next zone in order of name; the first zone comes after the last one.
fn first_reader_of_next_zone<'a>(list: &'a HostList, local: &Identity) -> Option<&'a HostEntry> {
    let live = list.hosts.iter().filter(|e| e.state == HostState::Live);
    let zones = live
        .map(|entry| &entry.zone)
        .filter(|zone| **zone != local.zone);
    let next = zones.clone().filter(|zone| **zone > local.zone).min();
    let zone = next.or_else(|| zones.min())?;
    ranked_hosts(list, zone).first().copied()
}

fn peers_of(hosts: &[&HostEntry], local: &Identity) -> Vec<Peer> {
    let others = hosts.iter().filter(|entry| entry.host != local.host);
    let mut entries: Vec<&HostEntry> = others.copied().collect();
    entries.sort_by_cached_key(|entry| Distance {
        is_other_region: entry.region != local.region,
        score: hash(ORDER_SEED, local.host.as_str(), &entry.host),
    });
    entries.into_iter().map(Peer::from).collect()
}

/// Sort key for the order of peers. Links between regions have little bandwidth and are billed by
/// volume, so peers of the same region come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    is_other_region: bool,
    score: u64,
}

fn readers_of_other_zones<'a>(list: &'a HostList, local: &Identity) -> Vec<&'a HostEntry> {
    let mut zones: Vec<_> = list.hosts.iter().map(|entry| &entry.zone).collect();
    zones.sort();
    zones.dedup();
    let others = zones.into_iter().filter(|zone| **zone != local.zone);
    others
        .flat_map(|zone| ranked_hosts(list, zone).into_iter().take(READERS_COUNT))
        .collect()
}
