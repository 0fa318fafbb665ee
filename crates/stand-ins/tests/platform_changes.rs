//! Changes only, from the platform stand-in to the client of the processes.

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
/// An unchanged reading each second must leave most of the 2 KB/s of a node to other messages.
const UNCHANGED_MAX_BYTES: usize = 300;

/// Platform and what a reader holds of it.
struct Reader {
    address: String,
    platform: PlatformClient,
    lists: Snapshot,
    hosts: HostStore,
    /// Kinds of the answers so far.
    kinds: Vec<&'static str>,
}

impl Reader {
    fn start(answers_whole: bool) -> Self {
        let config = PlatformConfig {
            answers_whole,
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
        assert_eq!(reader.kinds, ["whole", "whole"]);
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

    /// Reads lists and hosts once and takes what is new.
    fn read(&mut self) {
        let held = self.lists.revision();
        let lists = self.platform.lists(held, held, NO_WAIT).expect("answer");
        self.take(lists);
        let hosts = self.platform.hosts(self.hosts.revision()).expect("answer");
        self.take(hosts);
    }

    fn take(&mut self, answer: PlatformResponse) {
        let kind = match answer {
            PlatformResponse::Lists(snapshot) => {
                self.lists = snapshot;
                "whole"
            }
            PlatformResponse::ListChanges(delta) => {
                self.lists = self.lists.apply(&delta).expect("applied");
                "changes"
            }
            PlatformResponse::Hosts(list) => {
                assert!(self.hosts.install_if_newer(list));
                "whole"
            }
            PlatformResponse::HostChanges(delta) => {
                self.hosts.apply(&delta).expect("applied");
                "changes"
            }
            PlatformResponse::Unchanged { .. } => "unchanged",
            PlatformResponse::Unreadable(findings) => panic!("{findings}"),
        };
        self.kinds.push(kind);
    }

    /// Whether the reader holds what the platform publishes.
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

/// Guards against a change or a removal that is lost when only changes are read, against a reader
/// that cannot use a platform without them, and against changes that are asked for in vain after
/// the platform has forgotten the revision.
#[parameterized(
    changes = { false, false, "changes" },
    always_whole = { true, false, "whole" },
    forgotten = { false, true, "whole" },
)]
fn reader_holds_what_is_published(answers_whole: bool, is_forgotten: bool, kind: &str) {
    let mut reader = Reader::start(answers_whole);
    reader.publish("plans/a", "2");
    reader.post("/control/remove", json!({"key": "plans/b"}));
    reader.publish("plans/c", "1");
    reader.publish_hosts(&[host(1, "leaving"), host(3, "live")]);
    if is_forgotten {
        reader.post("/control/forget", json!({}));
    }
    reader.read();
    assert_eq!(reader.kinds[2..], [kind, kind]);
    assert!(reader.is_complete());
    reader.read();
    assert_eq!(reader.kinds[4..], ["unchanged", "unchanged"]);
}

/// Guards against a reader that goes back when a replica serves an older revision, and against one
/// that needs the whole again afterwards.
#[test]
fn older_revision_changes_nothing() {
    let mut reader = Reader::start(false);
    reader.post("/control", json!({"mode": "stale"}));
    reader.publish("plans/a", "2");
    reader.publish_hosts(&[host(1, "leaving")]);
    reader.post("/control", json!({"mode": "normal"}));
    reader.read();
    let held = reader.lists.revision();
    reader.post("/control", json!({"mode": "stale"}));
    reader.publish("plans/a", "3");
    reader.read();
    assert_eq!(reader.lists.revision(), held);
    reader.post("/control", json!({"mode": "normal"}));
    reader.read();
    let expected = [
        "changes",
        "changes",
        "unchanged",
        "unchanged",
        "changes",
        "unchanged",
    ];
    assert_eq!(reader.kinds[2..], expected);
    assert!(reader.is_complete());
}

/// Guards against a reading of an unchanged host list that grows with the fleet.
#[test]
fn unchanged_hosts_cost_little() {
    let reader = Reader::start(false);
    let hosts: Vec<_> = (1..500).map(|number| host(number, "live")).collect();
    reader.publish_hosts(&hosts);
    let body = reader.body("/v1/hosts?since=2").to_string();
    assert!(body.len() <= UNCHANGED_MAX_BYTES, "{body}");
    let older = reader.body("/v1/hosts?since=9").to_string();
    assert!(older.len() <= UNCHANGED_MAX_BYTES, "{older}");
    assert_eq!(reader.hosts.revision(), Revision(1));
}
