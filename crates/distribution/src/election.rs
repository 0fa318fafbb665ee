//! Which hosts read, and whom a process may follow.
//!
//! A platform of several replicas may serve some readers an old revision and tell them that
//! nothing changed. Readers therefore follow each other: the first of each zone the second one, the
//! second one the first of the next zone, which makes a ring, and the others of a zone the first
//! two. One reader that is served the newest revision is enough for all.
//!
//! Rendezvous hashing needs no agreement: processes with the same host list choose the same
//! readers, and a changed host moves the choice of its own zone only. Processes with different
//! lists may follow a host that does not read; its confirmation grows old then, and they look on.

use cuminlead_lists::{HostEntry, HostList, HostState};
use cuminlead_types::{AvailabilityZoneName, HostId, RegionName};
use xxhash_rust::xxh3::Xxh3;

use crate::limits::{READERS_COUNT, STANDBYS_COUNT, readers_count};

/// Seed of the election, fixed so that all processes choose alike.
pub const READER_SEED: u64 = 0x7265_6164_6572_7331;
/// Seed of the order in which a process tries peers, so that followers spread over the readers.
pub const ORDER_SEED: u64 = 0x6f72_6465_7270_6565;

/// Place of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Host.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionName,
    /// Availability zone of the host.
    pub zone: AvailabilityZoneName,
}

/// Process that can be followed or asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Host of the process.
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

/// Peers of one process in the order in which it tries them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    /// Readers of the own zone, standbys of the own zone, readers of other zones.
    pub peers: Vec<Peer>,
    /// Number of leading peers that the process prefers: for a follower two readers of its zone, for
    /// a reader the next one of the ring or the first two, and readers of other zones when there is
    /// none.
    pub primaries_count: usize,
    /// Rank of this process among the hosts of its zone, when it is a reader or a standby.
    pub own_rank: Option<usize>,
    /// Readers of the own zone.
    pub readers_count: usize,
}

impl Candidates {
    /// Peers that the process prefers.
    pub fn primaries(&self) -> &[Peer] {
        &self.peers[..self.primaries_count]
    }

    /// Whether this process reads.
    pub fn is_reader(&self) -> bool {
        self.own_rank.is_some_and(|rank| rank < self.readers_count)
    }

    /// Whether this process reads the host list whatever it hears from others.
    pub fn is_hosts_reader(&self) -> bool {
        self.own_rank.is_some_and(|rank| rank < READERS_COUNT)
    }

    /// Whether this process reads while it hears no confirmed reader.
    pub fn is_standby(&self) -> bool {
        self.own_rank.is_some_and(|rank| rank >= self.readers_count)
    }
}

/// Readers of a zone.
pub fn readers_of_zone<'a>(list: &'a HostList, zone: &AvailabilityZoneName) -> Vec<&'a HostEntry> {
    let mut hosts = ranked_hosts(list, zone);
    hosts.truncate(readers_count(hosts.len()));
    hosts
}

/// Live hosts of a zone by rank.
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

/// Order of hosts; the host decides between equal scores.
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

/// Peers of a process by the host list.
pub fn candidates(list: &HostList, own: &Identity) -> Candidates {
    let mut ranked = ranked_hosts(list, &own.zone);
    let readers_count = readers_count(ranked.len());
    ranked.truncate(readers_count + STANDBYS_COUNT);
    let own_rank = ranked.iter().position(|entry| entry.host == own.host);
    let (readers, standbys) = ranked.split_at(ranked.len().min(readers_count));
    let is_reader = own_rank.is_some_and(|rank| rank < readers_count);
    // Readers follow the first two, which are in the ring; others spread over all readers.
    let followed = if is_reader {
        &readers[..readers.len().min(READERS_COUNT)]
    } else {
        readers
    };
    let mut peers = peers_of(followed, own);
    let zone_readers_count = peers.len().min(READERS_COUNT);
    peers.extend(peers_of(standbys, own));
    peers.extend(peers_of(&readers_of_other_zones(list, own), own));
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
        prefer(&mut candidates, first_reader_of_next_zone(list, own));
    }
    candidates
}

/// Makes one peer the only primary.
fn prefer(candidates: &mut Candidates, preferred: Option<&HostEntry>) {
    let Some(preferred) = preferred.map(Peer::from) else {
        return;
    };
    candidates.peers.retain(|peer| *peer != preferred);
    candidates.peers.insert(0, preferred);
    candidates.primaries_count = 1;
}

/// First reader of the zone that follows in order of name; the last zone is followed by the first.
fn first_reader_of_next_zone<'a>(list: &'a HostList, own: &Identity) -> Option<&'a HostEntry> {
    let live = list.hosts.iter().filter(|e| e.state == HostState::Live);
    let zones = live
        .map(|entry| &entry.zone)
        .filter(|zone| **zone != own.zone);
    let next = zones.clone().filter(|zone| **zone > own.zone).min();
    let zone = next.or_else(|| zones.min())?;
    ranked_hosts(list, zone).first().copied()
}

fn peers_of(hosts: &[&HostEntry], own: &Identity) -> Vec<Peer> {
    let others = hosts.iter().filter(|entry| entry.host != own.host);
    let mut entries: Vec<&HostEntry> = others.copied().collect();
    entries.sort_by_cached_key(|entry| Distance {
        is_other_region: entry.region != own.region,
        score: hash(ORDER_SEED, own.host.as_str(), &entry.host),
    });
    entries.into_iter().map(Peer::from).collect()
}

/// Order in which a process tries peers: links between regions are narrow and paid by volume.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    is_other_region: bool,
    score: u64,
}

fn readers_of_other_zones<'a>(list: &'a HostList, own: &Identity) -> Vec<&'a HostEntry> {
    let mut zones: Vec<_> = list.hosts.iter().map(|entry| &entry.zone).collect();
    zones.sort();
    zones.dedup();
    let others = zones.into_iter().filter(|zone| **zone != own.zone);
    others
        .flat_map(|zone| ranked_hosts(list, zone).into_iter().take(READERS_COUNT))
        .collect()
}
