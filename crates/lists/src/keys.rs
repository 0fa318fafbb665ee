//! Look-up of customers by API key.
//!
//! Only the SHA-256 digests of keys are published. Comparing a digest in constant time with those
//! of all 4,400 customers takes about 0.3 ms per request, which exceeds the overhead allowed per
//! node. Therefore the first two bytes of the digest select a bucket, and the full digest is
//! compared in constant time with every entry of that bucket. The time of a look-up reveals at most
//! these two bytes.
//!
//! All entries are in one vector, sorted by bucket. Separate vectors would waste memory, because
//! each allocates room for at least four entries and almost every bucket has one.

use cuminlead_types::CustomerId;
use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

use crate::lists::Lists;

/// Index of customers by the SHA-256 of their API keys.
#[derive(Clone, Debug, Default)]
pub struct CustomerKeys {
    /// Sorted by [`bucket_of`].
    entries: Vec<KeyEntry>,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    key_sha256: [u8; 32],
    customer: CustomerId,
}

impl CustomerKeys {
    /// Indexes all customers of the lists.
    pub fn new(lists: &Lists) -> Self {
        let customers = lists.customers.values();
        let mut entries: Vec<KeyEntry> = customers
            .map(|customer| KeyEntry {
                key_sha256: customer.key_sha256,
                customer: customer.id.clone(),
            })
            .collect();
        entries.sort_by_key(|entry| bucket_of(&entry.key_sha256));
        Self { entries }
    }

    /// Customer with this API key, given in clear.
    pub fn find(&self, key: &[u8]) -> Option<&CustomerId> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let bucket = self.bucket(bucket_of(&digest));
        let mut found = u64::MAX;
        for (index, entry) in bucket.iter().enumerate() {
            let is_equal = entry.key_sha256.ct_eq(&digest);
            found.conditional_assign(&(index as u64), is_equal);
        }
        let index = usize::try_from(found).ok()?;
        bucket.get(index).map(|entry| &entry.customer)
    }

    fn bucket(&self, number: u16) -> &[KeyEntry] {
        let position = |is_before: fn(u16, u16) -> bool| {
            let is_before = |entry: &KeyEntry| is_before(bucket_of(&entry.key_sha256), number);
            self.entries.partition_point(is_before)
        };
        let start = position(|bucket, number| bucket < number);
        let end = position(|bucket, number| bucket <= number);
        &self.entries[start..end]
    }
}

fn bucket_of(digest: &[u8; 32]) -> u16 {
    u16::from_be_bytes([digest[0], digest[1]])
}
