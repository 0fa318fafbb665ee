//! What the platform of a world publishes and answers.
//!
//! At random it answers with changes only or with everything, as one that has forgotten the revision.

use cuminlead_distribution::{Answer, Event, PlatformCallRef, PublishedResource};
use cuminlead_lists::{
    Delta, HostDelta, HostEntry, HostState, Part, PartKey, ProcessKind, Snapshot,
};
use cuminlead_types::{DurationUs, Revision, TimeUs};
use rand::RngExt;

use super::{Delivery, World};

const ALLOWANCES: &str = "schema = 1\n";

/// Call to the platform.
#[derive(Clone, Copy)]
pub(super) struct Asked {
    pub(super) node: usize,
    pub(super) call: PlatformCallRef,
    pub(super) source: PublishedResource,
    pub(super) after: Revision,
    pub(super) held: Revision,
    pub(super) until: TimeUs,
}

/// Snapshot whose only plan names its revision.
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

impl World {
    pub(super) fn serve_call(&mut self, asked: Asked) {
        let Asked {
            node,
            call,
            source,
            after,
            ..
        } = asked;
        if source == PublishedResource::Lists && self.is_lists_down {
            self.answer(node, Event::CallFailed { call });
            return;
        }
        let revision = self.served_revision(node, source);
        if revision <= after && self.now < asked.until {
            self.send(DurationUs::from_ms(50), Delivery::Service(asked));
            return;
        }
        let answer = if revision <= after {
            Answer::Unchanged { revision }
        } else if asked.held > Revision::ZERO && self.rng.random_bool(0.5) {
            self.changes(asked, revision)
        } else {
            self.everything(node, source, revision)
        };
        if !self.is_lost() {
            self.answer(node, Event::Answered { call, answer });
        }
    }

    fn served_revision(&self, node: usize, source: PublishedResource) -> Revision {
        match source {
            PublishedResource::Lists => {
                let stale = self.stale.get(&node).copied();
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

    fn everything(&self, node: usize, source: PublishedResource, revision: Revision) -> Answer {
        match source {
            PublishedResource::Lists if self.invalid.contains(&revision.get()) => {
                Answer::Lists(Snapshot::new(revision, [invalid_part()]))
            }
            PublishedResource::Lists => Answer::Lists(snapshot(revision.get())),
            PublishedResource::Hosts => {
                Answer::Hosts(self.stale_hosts.get(&node).unwrap_or(&self.hosts).clone())
            }
        }
    }

    fn changes(&self, asked: Asked, revision: Revision) -> Answer {
        if asked.source == PublishedResource::Lists {
            return Answer::ListChanges(Delta {
                from_revision: asked.held,
                revision,
                parts: vec![self.plans_part(revision)],
                ..Delta::default()
            });
        }
        let shown = self.stale_hosts.get(&asked.node).unwrap_or(&self.hosts);
        let mut earlier = self.earlier_hosts.iter();
        let Some(earlier) = earlier.find(|list| list.revision == asked.held) else {
            return Answer::Hosts(shown.clone());
        };
        let is_changed = |entry: &&HostEntry| !earlier.hosts.contains(entry);
        Answer::HostChanges(HostDelta {
            from_revision: asked.held,
            revision,
            hosts: shown.hosts.iter().filter(is_changed).cloned().collect(),
            ..HostDelta::default()
        })
    }
}
