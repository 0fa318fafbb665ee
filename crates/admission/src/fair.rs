//! Weighted fair share among customers by virtual time.
//!
//! This is start-time fair queueing. The finish tag of a customer advances with each grant by the
//! granted tokens divided by the customer's weight, and the customer with the lowest start tag is
//! served first. A customer that was idle starts at the current virtual time, so it gains no credit
//! by idling.

use std::collections::BTreeMap;

use cuminlead_types::{CustomerId, Tokens};

/// Virtual time for one token at weight 1; it keeps the division by the weight precise.
const VIRTUAL_PER_TOKEN: u64 = 1_000;

/// Number of customers above which those without an advance are dropped.
const CUSTOMERS_KEPT_COUNT: usize = 256;

/// Virtual time of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(pub u64);

/// Virtual clocks of all customers.
#[derive(Debug, Default)]
pub struct FairShare {
    present: VirtualTime,
    clocks: BTreeMap<CustomerId, VirtualTime>,
}

impl FairShare {
    /// Virtual time at which the customer's next request starts.
    pub fn start_of(&self, customer: &CustomerId) -> VirtualTime {
        let clock = self.clocks.get(customer).copied().unwrap_or_default();
        clock.max(self.present)
    }

    /// Charges a granted request to its customer.
    pub fn charge(&mut self, customer: &CustomerId, tokens: Tokens, weight: u32) {
        let start = self.start_of(customer);
        let advance = tokens.0.saturating_mul(VIRTUAL_PER_TOKEN) / u64::from(weight.max(1));
        self.present = start;
        self.clocks.insert(
            customer.clone(),
            VirtualTime(start.0.saturating_add(advance)),
        );
        if self.clocks.len() > CUSTOMERS_KEPT_COUNT {
            let present = self.present;
            self.clocks.retain(|_, clock| *clock > present);
        }
    }
}
