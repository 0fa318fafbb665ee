//! A KV cache is not offered after it was consumed.
//!
//! Until then it may be offered to several decode servers, one after another.

use std::collections::BTreeSet;

use cuminlead_types::RequestId;

use super::Input;
use crate::observation::{CacheName, Observation};
use crate::report::{Promise, Report};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CacheRef {
    request: RequestId,
    cache: CacheName,
}

pub(super) fn check(input: &Input, report: &mut Report) {
    let mut consumed: BTreeSet<CacheRef> = BTreeSet::new();
    for (index, observed) in input.record.iter().enumerate() {
        match &observed.what {
            Observation::CacheConsumed { request, cache } => {
                consumed.insert(CacheRef {
                    request: *request,
                    cache: cache.clone(),
                });
            }
            Observation::DecodeSent { request, cache, .. } => {
                let Some(cache) = &cache.0 else { continue };
                let offered = CacheRef {
                    request: *request,
                    cache: cache.clone(),
                };
                if consumed.contains(&offered) {
                    let message = format!(
                        "KV cache {cache} was offered to a decode server after it was consumed"
                    );
                    report.add(Promise::Caches, request, index, message);
                }
            }
            _ => {}
        }
    }
}
