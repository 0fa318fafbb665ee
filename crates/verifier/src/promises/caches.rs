//! A KV cache is offered until it is consumed, and not after.

use std::collections::BTreeSet;

use cuminlead_types::RequestId;

use super::Input;
use crate::observation::{CacheName, Observation};
use crate::report::{Promise, Report};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Consumed {
    request: RequestId,
    cache: CacheName,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut consumed: BTreeSet<Consumed> = BTreeSet::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::CacheConsumed { request, cache } => {
                consumed.insert(Consumed {
                    request: *request,
                    cache: cache.clone(),
                });
            }
            Observation::DecodeSent { request, cache, .. } => {
                let Some(cache) = &cache.0 else { continue };
                let offered = Consumed {
                    request: *request,
                    cache: cache.clone(),
                };
                if consumed.contains(&offered) {
                    let message = format!("cache {cache} was offered after it was consumed");
                    report.add(Promise::Caches, request, index, message);
                }
            }
            _ => {}
        }
    }
}
