//! Weighted fair share among customers by virtual time.
//!
//! This is start-time fair queueing. The finish tag of a customer advances with each grant by the
//! granted tokens divided by the customer's weight, and the customer with the lowest start tag is
//! served first. A customer that was idle starts at the current virtual time, so it gains no credit
//! by idling.

use std::collections::BTreeMap;

use cuminlead_types::{CustomerId, Tokens};

/// Virtual time of one token at weight 1; limits the rounding error of the division by the weight.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

/// Number of customers above which those whose finish tag has passed are dropped.
const PRUNE_ABOVE_CUSTOMERS_COUNT: usize = 256;

/// Virtual time; a token costs 1,000 units, divided by the customer's weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(pub u64);

/// Virtual time and the finish tags of the customers.
#[derive(Debug, Default)]
pub struct FairShare {
    virtual_time: VirtualTime,
    finish_tags: BTreeMap<CustomerId, VirtualTime>,
}

impl FairShare {
    /// Start tag of the customer's next request.
    pub fn start_tag(&self, customer: &CustomerId) -> VirtualTime {
        let finish_tag = self.finish_tags.get(customer).copied().unwrap_or_default();
        finish_tag.max(self.virtual_time)
    }

    /// Charges a granted request to its customer; a weight of 0 counts as 1.
    pub fn charge(&mut self, customer: &CustomerId, tokens: Tokens, weight: u32) {
        let start = self.start_tag(customer);
        let advance = tokens.0.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(weight.max(1));
        self.virtual_time = start;
        self.finish_tags.insert(
            customer.clone(),
            VirtualTime(start.0.saturating_add(advance)),
        );
        if self.finish_tags.len() > PRUNE_ABOVE_CUSTOMERS_COUNT {
            let virtual_time = self.virtual_time;
            self.finish_tags
                .retain(|_, finish_tag| *finish_tag > virtual_time);
        }
    }
}
