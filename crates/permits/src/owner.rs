//! Choice of the server that owns an idempotency key.
//!
//! Rendezvous hashing over the servers that the lists assign to the service. Every process with the
//! same lists computes the same owner, regardless of its local view of the servers' health, and
//! removing a server moves only the keys of that server.

use cuminlead_types::{BackendServerId, CustomerId, IdempotencyKey, ServiceName};
use xxhash_rust::xxh3::Xxh3;

/// Seed of the owner hash.
///
/// All processes of a fleet must use the same seed. Otherwise a key could have two owners, and
/// both could run its call.
pub const OWNER_HASH_SEED: u64 = 0x6375_6d69_6e6b_6579;

/// Separator between the hashed names, which contain no control characters.
const SEPARATOR: &[u8] = &[0];

/// Idempotency key, qualified by customer and service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId {
    /// Customer that sent the key.
    pub customer: CustomerId,
    /// Service that the call is for.
    pub service: ServiceName,
    /// Key that the caller chose.
    pub key: IdempotencyKey,
}

/// Server that owns a key; `None` if `servers` is empty.
///
/// `servers` are the servers that the lists assign to the service of the key, in any order.
pub fn owner_of<'a>(
    key: &KeyId,
    servers: impl IntoIterator<Item = &'a BackendServerId>,
) -> Option<&'a BackendServerId> {
    servers
        .into_iter()
        .max_by_key(|server| (score(key, server), *server))
}

fn score(key: &KeyId, server: &BackendServerId) -> u64 {
    let mut hasher = Xxh3::with_seed(OWNER_HASH_SEED);
    let names = [
        key.customer.as_str(),
        key.service.as_str(),
        key.key.as_str(),
        server.as_str(),
    ];
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(SEPARATOR);
    }
    hasher.digest()
}
