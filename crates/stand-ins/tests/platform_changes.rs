//! Incremental reads of the platform stand-in by the platform client of the processes.

use std::time::Duration;

use cuminlead_distribution::PlatformResponse;
use cuminlead_lists::{HostStore, Snapshot};
use cuminlead_process::platform::PlatformClient;
use cuminlead_stand_ins::client;
use cuminlead_stand_ins::platform::{Platform as StandIn, PlatformConfig};
use cuminlead_types::Revision;
use serde_json::{Value, json};
use yare::parameterized;

const NO_WAIT: Duration = Duration::ZERO;
/// A read each second without changes must leave most of the 2 KB/s of a node for other messages.
const UNCHANGED_MAX_BYTES: usize = 300;

/// Reader of a platform stand-in, with the lists and hosts that it has read.
struct Reader {
    address: String,
    platform: PlatformClient,
    lists: Snapshot,
    hosts: HostStore,
    /// Kinds of the responses so far: `full`, `incremental` or `unchanged`.
    kinds: Vec<&'static str>,
}

impl Reader {
    fn start(always_full: bool) -> Self {
        let config = PlatformConfig {
            always_full,
            ..PlatformConfig::default()
        };
        let address = StandIn::start(&config).expect("start").to_string();
        let mut reader = Self {
            platform: PlatformClient::new(&address),
            address,
            lists: Snapshot::default(),
            hosts: HostStore::new(),
            kinds: Vec::new(),
        };
        reader.publish("plans/a", "1");
        reader.publish("plans/b", "1");
        reader.publish_hosts(&[host(1, "live"), host(2, "live")]);
        reader.read();
        assert_eq!(reader.kinds, ["full", "full"]);
        reader
    }

    fn post(&self, path: &str, body: Value) {
        let url = format!("http://{}{path}", self.address);
        let answer = client::post(&client::agent(Duration::from_secs(5)), &url, body);
        assert_eq!(answer.expect("answer").status, 200);
    }

    fn publish(&self, key: &str, text: &str) {
        self.post("/control/publish", json!({"key": key, "text": text}));
    }

    fn publish_hosts(&self, hosts: &[Value]) {
        self.post("/control/hosts", json!({"hosts": hosts}));
    }

    fn body(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.address);
        let answer = client::get(&client::agent(Duration::from_secs(5)), &url);
        answer.expect("answer").body
    }

    /// Reads lists and hosts once and applies the responses.
    fn read(&mut self) {
        let current = self.lists.revision();
        let lists = self
            .platform
            .lists(current, current, NO_WAIT)
            .expect("answer");
        self.apply_response(lists);
        let hosts = self.platform.hosts(self.hosts.revision()).expect("answer");
        self.apply_response(hosts);
    }

    fn apply_response(&mut self, answer: PlatformResponse) {
        let kind = match answer {
            PlatformResponse::Lists(snapshot) => {
                self.lists = snapshot;
                "full"
            }
            PlatformResponse::ListChanges(delta) => {
                self.lists = self.lists.apply(&delta).expect("applied");
                "incremental"
            }
            PlatformResponse::Hosts(list) => {
                assert!(self.hosts.install_if_newer(list));
                "full"
            }
            PlatformResponse::HostChanges(delta) => {
                self.hosts.apply(&delta).expect("applied");
                "incremental"
            }
            PlatformResponse::Unchanged { .. } => "unchanged",
            PlatformResponse::Unreadable(findings) => panic!("{findings}"),
        };
        self.kinds.push(kind);
    }

    /// Whether the reader's lists and hosts equal those that the platform publishes.
    fn is_complete(&self) -> bool {
        let lists = self.body("/v1/config?since=0");
        let parts: Vec<_> = self
            .lists
            .parts()
            .map(|p| json!({"key": p.key.as_str(), "revision": p.revision.get(), "text": p.text}))
            .collect();
        let hosts = self.body("/v1/hosts");
        let mut names: Vec<_> = self
            .hosts
            .list()
            .expect("hosts")
            .hosts
            .iter()
            .map(|e| json!([e.host.as_str(), e.state.to_string()]))
            .collect();
        names.sort_by_key(Value::to_string);
        let published = hosts["hosts"].as_array().expect("hosts").iter();
        let published: Vec<_> = published.map(|h| json!([h["host"], h["state"]])).collect();
        lists["parts"] == json!(parts)
            && lists["revision"] == json!(self.lists.revision().get())
            && published == names
            && hosts["revision"] == json!(self.hosts.revision().get())
    }
}

fn host(number: u16, state: &str) -> Value {
    json!({
        "host": format!("h{number}"), "region": "r", "availability_zone": "z", "state": state,
        "process": "entry", "address": format!("127.0.0.1:{number}"),
    })
}

/// Guards against a change or removal that an incremental read loses, against a reader that can't
/// use a platform with full responses only, and against a reader that gets no lists after the
/// platform has discarded the history from its revision.
#[parameterized(
    incremental = { false, false, "incremental" },
    full_responses = { true, false, "full" },
    discarded_history = { false, true, "full" },
)]
fn reader_matches_platform(always_full: bool, is_history_discarded: bool, kind: &str) {
    let mut reader = Reader::start(always_full);
    reader.publish("plans/a", "2");
    reader.post("/control/remove", json!({"key": "plans/b"}));
    reader.publish("plans/c", "1");
    reader.publish_hosts(&[host(1, "leaving"), host(3, "live")]);
    if is_history_discarded {
        reader.post("/control/forget", json!({}));
    }
    reader.read();
    assert_eq!(reader.kinds[2..], [kind, kind]);
    assert!(reader.is_complete());
    reader.read();
    assert_eq!(reader.kinds[4..], ["unchanged", "unchanged"]);
}

/// Guards against a reader that reverts when a replica serves an older revision, and one that needs
/// a full response afterwards.
#[test]
fn older_revision_is_ignored() {
    let mut reader = Reader::start(false);
    reader.post("/control", json!({"mode": "stale"}));
    reader.publish("plans/a", "2");
    reader.publish_hosts(&[host(1, "leaving")]);
    reader.post("/control", json!({"mode": "normal"}));
    reader.read();
    let current = reader.lists.revision();
    reader.post("/control", json!({"mode": "stale"}));
    reader.publish("plans/a", "3");
    reader.read();
    assert_eq!(reader.lists.revision(), current);
    reader.post("/control", json!({"mode": "normal"}));
    reader.read();
    let expected = [
        "incremental",
        "incremental",
        "unchanged",
        "unchanged",
        "incremental",
        "unchanged",
    ];
    assert_eq!(reader.kinds[2..], expected);
    assert!(reader.is_complete());
}

/// Guards against responses for an unchanged host list that grow with the number of hosts.
#[test]
fn unchanged_hosts_response_is_small() {
    let reader = Reader::start(false);
    let hosts: Vec<_> = (1..500).map(|number| host(number, "live")).collect();
    reader.publish_hosts(&hosts);
    let body = reader.body("/v1/hosts?since=2").to_string();
    assert!(body.len() <= UNCHANGED_MAX_BYTES, "{body}");
    let older = reader.body("/v1/hosts?since=9").to_string();
    assert!(older.len() <= UNCHANGED_MAX_BYTES, "{older}");
    assert_eq!(reader.hosts.revision(), Revision(1));
}
