//! Builds lists, host lists and messages of a given size.

use std::fmt::{Debug, Write};
use std::str::FromStr;

use cuminlead_lists::{HostEntry, HostList, HostState, Part, PartKey, ProcessKind, Snapshot};
use cuminlead_protocol::{Envelope, ModelTarget};
use cuminlead_types::{Attempt, AttemptId, PromptPartId, RequestId, Revision};
use sha2::{Digest, Sha256};

/// Regions at the design scale.
pub(crate) const REGIONS_COUNT: usize = 3;
/// Availability zones at the design scale.
pub(crate) const ZONES_COUNT: usize = 6;
/// Models at the design scale.
pub(crate) const MODELS_COUNT: usize = 4;
/// The design scale states no number of plans; one for each model is assumed.
pub(crate) const PLANS_COUNT: usize = 4;
/// Engines at the design scale.
pub(crate) const ENGINES_COUNT: usize = 2_300;
/// Customers at the design scale.
pub(crate) const CUSTOMERS_COUNT: usize = 4_400;
/// Customers per part, so that 44 parts contain all customers of the design scale.
pub(crate) const CUSTOMERS_PER_PART: usize = 100;

#[derive(Clone, Copy, Debug)]
pub(crate) struct ListSize {
    pub(crate) customers: usize,
    /// Number of parts that the customers are split into.
    pub(crate) parts: usize,
    pub(crate) engines: usize,
}

/// Lists at the design scale.
pub(crate) const DESIGN_LISTS: ListSize = ListSize {
    customers: CUSTOMERS_COUNT,
    parts: CUSTOMERS_COUNT / CUSTOMERS_PER_PART,
    engines: ENGINES_COUNT,
};

/// Parts of a prompt of 10,000 tokens that the router gets.
pub(crate) fn prompt_parts(seed: u64) -> Vec<PromptPartId> {
    let hashes = (0..11).map(|number| {
        seed.wrapping_add(number)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
    });
    hashes.map(|hash| name(&format!("{hash:016x}"))).collect()
}

/// Parses a name; panics if it is invalid.
pub(crate) fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

pub(crate) fn engine(number: usize) -> String {
    format!("engine-{number:04}")
}

pub(crate) fn customer(number: usize) -> String {
    format!("team-{number:04}")
}

/// Number of the model that an engine serves.
pub(crate) fn model_of(engine: usize) -> usize {
    engine / 2 % MODELS_COUNT
}

/// Target of all requests: the first model, without an adapter.
pub(crate) fn target() -> ModelTarget {
    ModelTarget {
        model: name("model-0"),
        adapter: None,
        version: name("v1"),
    }
}

/// Envelope of a request of the first customer.
pub(crate) fn envelope(number: u128) -> Envelope {
    Envelope {
        entry: name("entry-0001"),
        id: AttemptId {
            request: RequestId(number),
            attempt: Attempt::FIRST,
        },
        customer: name(&customer(0)),
        lists_revision: Revision(100_000),
        hosts_revision: Revision(100_000),
        traceparent: format!("00-{number:032x}-{number:016x}-01"),
    }
}

/// Text of a plans part that contains all plans.
pub(crate) fn plans_text() -> String {
    let plans = (0..PLANS_COUNT).map(|plan| {
        format!(
            "[[plan]]\nname = \"plan-{plan}\"\nrequests_per_second = 50\nburst_requests = 100\n\
             first_token_ms = 2000\nbetween_tokens_ms = 60\nweight = 1\n"
        )
    });
    plans.fold("schema = 1\n".to_string(), |text, plan| text + &plan)
}

/// Text of a plans part that contains some customers; `salt` changes their API keys.
pub(crate) fn customers_text(numbers: std::ops::Range<usize>, salt: u64) -> String {
    let mut text = "schema = 1\n".to_string();
    for number in numbers {
        let id = customer(number);
        let plan = number % PLANS_COUNT;
        let digest = Sha256::digest(format!("{id}/{salt}"));
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        write!(
            text,
            "[[customer]]\nid = \"{id}\"\nplan = \"plan-{plan}\"\nkey_sha256 = \"{digest}\"\n"
        )
        .expect("writing to a String does not fail");
    }
    text
}

/// Text of an allowances part in which each plan may use all engines of each model, and three
/// servers of one service.
pub(crate) fn allowances_text(engines: usize) -> String {
    let mut text = "schema = 1\n".to_string();
    (0..engines).for_each(|number| text += &engine_text(number));
    for number in 0..REGIONS_COUNT {
        text += &format!(
            "[[server]]\nid = \"counter-{number}\"\nkind = \"service\"\nservice = \"counter\"\n"
        );
    }
    for plan in 0..PLANS_COUNT {
        text += &format!("[[allowance]]\nplan = \"plan-{plan}\"\n");
        (0..MODELS_COUNT).for_each(|model| text += &model_text(model, engines));
        text += "[[allowance.service]]\nservice = \"counter\"\n\
                 servers = [\"counter-0\", \"counter-1\", \"counter-2\"]\n";
    }
    text
}

fn engine_text(number: usize) -> String {
    let role = ["prefill", "decode"][number % 2];
    format!(
        "[[server]]\nid = \"{}\"\nkind = \"engine\"\nrole = \"{role}\"\n\
         models = [{{ model = \"model-{}\", version = \"v1\" }}]\nadapters = []\nfenced = true\n",
        engine(number),
        model_of(number)
    )
}

fn model_text(model: usize, engines: usize) -> String {
    let serving = (0..engines).filter(|number| model_of(*number) == model);
    let ids: Vec<String> = serving.map(|n| format!("\"{}\"", engine(n))).collect();
    format!(
        "[[allowance.model]]\nmodel = \"model-{model}\"\nversion = \"v1\"\npriority = 5\n\
         servers = [{}]\n",
        ids.join(", ")
    )
}

pub(crate) fn part(key: &str, revision: u64, text: String) -> Part {
    Part {
        key: PartKey::new(key),
        revision: Revision(revision),
        text,
    }
}

/// Part that contains one group of the customers.
pub(crate) fn group_part(size: ListSize, group: usize, revision: u64) -> Part {
    let first = size.customers * group / size.parts;
    let end = size.customers * (group + 1) / size.parts;
    let text = customers_text(first..end, revision);
    part(&format!("plans/group-{group:03}"), revision, text)
}

/// Replaces the entry of one customer; each `salt` gives it another API key.
pub(crate) fn change_customer(text: &str, number: usize, salt: u64) -> String {
    let lines = customers_text(number..number + 1, salt);
    let entry = lines.trim_start_matches("schema = 1\n");
    let id = format!("[[customer]]\nid = \"{}\"", customer(number));
    let start = text.find(&id).expect("customer");
    let end = start + entry.len();
    [&text[..start], entry, &text[end..]].concat()
}

/// Part that contains one group of the customers, with a new API key for the first of them.
pub(crate) fn changed_part(size: ListSize, part: &Part, group: usize, revision: u64) -> Part {
    let first = size.customers * group / size.parts;
    Part {
        key: part.key.clone(),
        revision: Revision(revision),
        text: change_customer(&part.text, first, revision),
    }
}

/// Full snapshot of a given size; all parts were changed at `revision`.
pub(crate) fn snapshot(size: ListSize, revision: u64) -> Snapshot {
    let groups = (0..size.parts).map(|group| group_part(size, group, revision));
    let base = [
        part("plans/base", revision, plans_text()),
        part("allowances/base", revision, allowances_text(size.engines)),
    ];
    Snapshot::new(Revision(revision), groups.chain(base))
}

/// Host list of agents, one for each engine, and of entries, spread over all zones.
pub(crate) fn hosts(agents: usize, entries: usize, revision: u64) -> HostList {
    let agents = (0..agents).map(|number| host(number, Some(number)));
    let entries = (0..entries).map(|number| host(number, None));
    HostList {
        revision: Revision(revision),
        hosts: agents.chain(entries).collect(),
    }
}

/// Host of an engine's agent if `engine_number` is given; otherwise host of an entry.
pub(crate) fn host(number: usize, engine_number: Option<usize>) -> HostEntry {
    let zone = number / 2 % ZONES_COUNT;
    let kind = engine_number.map_or("entry", |_| "agent");
    HostEntry {
        host: name(&format!("host-{kind}-{number:04}")),
        region: name(&format!("region-{}", zone % REGIONS_COUNT)),
        zone: name(&format!("zone-{zone}")),
        state: HostState::Live,
        process: engine_number.map_or(ProcessKind::Entry, |_| ProcessKind::Agent),
        address: format!("10.{zone}.{}.{}:7400", number / 250, number % 250),
        server: engine_number.map(|number| name(&engine(number))),
    }
}
