//! Platform of the simulation: what it publishes and how it answers calls.
//!
//! At random it answers with the changes only or in full, like a platform that no longer has the
//! earlier revision.

use cuminlead_distribution::{Event, PlatformCallRef, PlatformResponse, PublishedResource};
use cuminlead_lists::{
    Delta, HostDelta, HostEntry, HostState, Part, PartKey, ProcessKind, Snapshot,
};
use cuminlead_types::{DurationUs, Revision, TimeUs};
use rand::RngExt;

use super::{Delivery, Simulation};

const ALLOWANCES: &str = "schema = 1\n";

/// Call to the platform in flight.
#[derive(Clone, Copy)]
pub(super) struct PlatformCall {
    pub(super) node: usize,
    pub(super) call: PlatformCallRef,
    pub(super) resource: PublishedResource,
    pub(super) after: Revision,
    pub(super) active_revision: Revision,
    pub(super) until: TimeUs,
}

/// Snapshot whose only plan contains its revision.
fn snapshot(revision: u64) -> Snapshot {
    let plans = format!(
        "schema = 1\n[[plan]]\nname = \"p\"\nrequests_per_second = {revision}\nburst_requests = 1\nfirst_token_ms = 1\nbetween_tokens_ms = 1\nweight = 1\n"
    );
    let part = |key: &str, revision: u64, text: &str| Part {
        key: PartKey::new(key),
        revision: Revision(revision),
        text: text.to_string(),
    };
    let parts = [
        part("plans/base", revision, &plans),
        part("allowances/base", 1, ALLOWANCES),
    ];
    Snapshot::new(Revision(revision), parts)
}

fn invalid_part() -> Part {
    Part {
        key: PartKey::new("plans/base"),
        revision: Revision::ZERO,
        text: "schema = 7".to_string(),
    }
}

/// Process `number` in one of `zones_count` zones; every two zones form a region.
pub(crate) fn host(number: usize, zones_count: usize) -> HostEntry {
    let zone = number % zones_count;
    HostEntry {
        host: format!("h{number}").parse().expect("host"),
        region: format!("r{}", zone / 2).parse().expect("region"),
        zone: format!("z{zone}").parse().expect("zone"),
        state: HostState::Live,
        process: ProcessKind::Entry,
        address: format!("127.0.0.1:{}", 1_000 + number),
        server: None,
    }
}

impl Simulation {
    pub(super) fn serve_call(&mut self, platform_call: PlatformCall) {
        let PlatformCall {
            node,
            call,
            resource,
            after,
            ..
        } = platform_call;
        if resource == PublishedResource::Lists && self.is_lists_down {
            self.reply(node, Event::CallFailed { call });
            return;
        }
        let revision = self.served_revision(node, resource);
        if revision <= after && self.now < platform_call.until {
            self.send(DurationUs::from_ms(50), Delivery::Service(platform_call));
            return;
        }
        let answer = if revision <= after {
            PlatformResponse::Unchanged { revision }
        } else if platform_call.active_revision > Revision::ZERO && self.rng.random_bool(0.5) {
            self.delta_answer(platform_call, revision)
        } else {
            self.full_answer(node, resource, revision)
        };
        if !self.is_lost() {
            self.reply(node, Event::PlatformResponded { call, answer });
        }
    }

    fn served_revision(&self, node: usize, resource: PublishedResource) -> Revision {
        match resource {
            PublishedResource::Lists => {
                let stale = self.stale_revisions.get(&node).copied();
                Revision(stale.unwrap_or(self.lists_revision))
            }
            PublishedResource::Hosts => self.stale_hosts.get(&node).unwrap_or(&self.hosts).revision,
        }
    }

    fn plans_part(&self, revision: Revision) -> Part {
        if self.invalid.contains(&revision.get()) {
            return invalid_part();
        }
        let parts = snapshot(revision.get());
        let plans = parts.parts().find(|part| part.key.as_str() == "plans/base");
        plans.cloned().expect("plans")
    }

    fn full_answer(
        &self,
        node: usize,
        resource: PublishedResource,
        revision: Revision,
    ) -> PlatformResponse {
        match resource {
            PublishedResource::Lists if self.invalid.contains(&revision.get()) => {
                PlatformResponse::Lists(Snapshot::new(revision, [invalid_part()]))
            }
            PublishedResource::Lists => PlatformResponse::Lists(snapshot(revision.get())),
            PublishedResource::Hosts => {
                PlatformResponse::Hosts(self.stale_hosts.get(&node).unwrap_or(&self.hosts).clone())
            }
        }
    }

    fn delta_answer(&self, platform_call: PlatformCall, revision: Revision) -> PlatformResponse {
        if platform_call.resource == PublishedResource::Lists {
            return PlatformResponse::ListChanges(Delta {
                from_revision: platform_call.active_revision,
                revision,
                parts: vec![self.plans_part(revision)],
                ..Delta::default()
            });
        }
        let served = self
            .stale_hosts
            .get(&platform_call.node)
            .unwrap_or(&self.hosts);
        let mut earlier = self.earlier_hosts.iter();
        let Some(earlier) = earlier.find(|list| list.revision == platform_call.active_revision)
        else {
            return PlatformResponse::Hosts(served.clone());
        };
        let is_changed = |entry: &&HostEntry| !earlier.hosts.contains(entry);
        PlatformResponse::HostChanges(HostDelta {
            from_revision: platform_call.active_revision,
            revision,
            hosts: served.hosts.iter().filter(is_changed).cloned().collect(),
            ..HostDelta::default()
        })
    }
}
