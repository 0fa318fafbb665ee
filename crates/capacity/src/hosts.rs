//! Measures the memory of host lists and membership, and the time to apply a changed host list.

use cuminlead_distribution::{Identity, candidates};
use cuminlead_lists::{HostDelta, HostState, HostStore};
use cuminlead_membership::Membership;
use cuminlead_types::{Revision, TimeUs};

use crate::Report;
use crate::fixture::{ENGINES_COUNT, hosts};
use crate::measure::{Timings, measure_heap};

const HOST_COUNTS: [usize; 3] = [23, 230, ENGINES_COUNT];
const NOW: TimeUs = TimeUs(1_000_000_000);
const REPEATS: u64 = 15;

pub(crate) fn run(report: &mut Report) {
    for count in HOST_COUNTS {
        let store = measure_heap(|| store(count));
        report.add("hosts_store_heap_by_hosts", "bytes", count, store.bytes);
        let membership = measure_heap(|| membership(count));
        report.add(
            "membership_heap_by_servers",
            "bytes",
            count,
            membership.bytes,
        );
        let (delta, members, ranks) = change_times(count);
        report.add("hosts_delta_apply_by_hosts", "us", count, delta.median());
        report.add(
            "membership_update_by_servers",
            "us",
            count,
            members.median(),
        );
        report.add("candidates_by_hosts", "us", count, ranks.median());
    }
}

fn store(count: usize) -> HostStore {
    let mut store = HostStore::new();
    assert!(store.install_if_newer(hosts(count, 0, 1)));
    store
}

fn membership(count: usize) -> Membership {
    let mut membership = Membership::new();
    assert!(membership.update_hosts(NOW, &hosts(count, 0, 1)));
    membership
}

/// Times updates in which one host changes between live and leaving: applying the delta, updating
/// the membership, and selecting the candidate peers.
fn change_times(count: usize) -> (Timings, Timings, Timings) {
    let (mut store, mut membership) = (store(count), membership(count));
    let mut times = (Timings::default(), Timings::default(), Timings::default());
    let own = hosts(count, 0, 1).hosts[0].clone();
    let own = Identity {
        host: own.host,
        region: own.region,
        zone: own.zone,
    };
    for revision in 2..2 + REPEATS {
        let mut changed = hosts(count, 0, 1).hosts.swap_remove(5);
        if revision % 2 == 0 {
            changed.state = HostState::Leaving;
        }
        let delta = HostDelta {
            from_revision: Revision(revision - 1),
            revision: Revision(revision),
            hosts: vec![changed],
            ..HostDelta::default()
        };
        let applied = times.0.time(|| store.apply(&delta));
        assert_eq!(applied, Ok(()));
        let list = store.list().expect("list");
        assert!(times.1.time(|| membership.update_hosts(NOW, list)));
        let found = times.2.time(|| candidates(list, &own));
        assert!(!found.peers.is_empty());
    }
    times
}
