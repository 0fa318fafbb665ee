//! Traffic and backlog of the paid links between regions.
//!
//! The links are slow, shared and billed by volume. The backlog estimates how long another prompt
//! would be queued; it drains at the share of the link rate that this entry may use.

use std::collections::BTreeMap;

use cuminlead_types::{BitsPerSecond, Bytes, DurationUs, RegionName, TimeUs};

/// Bytes transferred between the entry's region and other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUse {
    /// Bytes of prompts sent to other regions.
    pub prompt_bytes: Bytes,
    /// Bytes of outputs received from other regions.
    pub answer_bytes: Bytes,
}

/// Links between the entry's region and the other regions.
#[derive(Clone, Debug, Default)]
pub struct Links {
    rate: BitsPerSecond,
    links: BTreeMap<RegionName, Link>,
}

#[derive(Clone, Debug, Default)]
struct Link {
    used: LinkUse,
    busy_until: TimeUs,
}

impl Links {
    /// Creates links without traffic; `rate` is the rate that this entry may use on each link.
    pub fn new(rate: BitsPerSecond) -> Self {
        Self {
            rate,
            links: BTreeMap::new(),
        }
    }

    /// Counts a prompt that is sent to another region.
    pub fn count_prompt(&mut self, now: TimeUs, region: &RegionName, size: Bytes) {
        let link = self.occupy(now, region, size);
        link.used.prompt_bytes += size;
    }

    /// Counts part of an output that was received from another region.
    pub fn count_answer(&mut self, now: TimeUs, region: &RegionName, size: Bytes) {
        let link = self.occupy(now, region, size);
        link.used.answer_bytes += size;
    }

    /// Time until a prompt of this size has been sent to another region, including the backlog.
    pub fn delay(&self, now: TimeUs, region: &RegionName, size: Bytes) -> DurationUs {
        let backlog = self
            .links
            .get(region)
            .map_or(DurationUs::ZERO, |link| link.busy_until.since(now));
        backlog.saturating_add(self.rate.time_for(size))
    }

    /// Traffic summed over all links.
    pub fn total(&self) -> LinkUse {
        let mut total = LinkUse::default();
        for link in self.links.values() {
            total.prompt_bytes += link.used.prompt_bytes;
            total.answer_bytes += link.used.answer_bytes;
        }
        total
    }

    fn occupy(&mut self, now: TimeUs, region: &RegionName, size: Bytes) -> &mut Link {
        let time = self.rate.time_for(size);
        let link = self.links.entry(region.clone()).or_default();
        link.busy_until = link.busy_until.max(now) + time;
        link
    }
}
