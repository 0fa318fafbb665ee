//! Lists and hosts of this process, fed by platform and peers.
//!
//! The feed belongs to the control thread; its jobs block on pool threads and report back as
//! [`FeedEvent`]s. What it holds is also published as a [`FeedView`] for the peer service.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use cuminlead_kernel::WorkerPool;
use cuminlead_lists::{CustomerKeys, HostList, ListStore, Lists, Offer, Snapshot};
use cuminlead_telemetry::CommonMetrics;
use cuminlead_types::{Findings, Revision, TimeUs};

use crate::platform::{Platform, PlatformError};

/// Interval between two readings of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after the platform gave no answer.
const PLATFORM_PAUSE: Duration = Duration::from_secs(1);

/// Something that a job of the feed reports.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// The configuration service was read.
    Config(Result<Snapshot, PlatformError>),
    /// The host list was read.
    Hosts(Result<HostList, PlatformError>),
}

/// Receiver of the feed's events; hands them to the control thread.
pub type FeedSender = Arc<dyn Fn(FeedEvent) + Send + Sync>;

/// What changed with an event.
#[derive(Clone, Debug, Default)]
pub struct FeedUpdate {
    /// Lists that are now in force.
    pub lists: Option<Arc<Lists>>,
    /// Host list that is now known.
    pub hosts: Option<Arc<HostList>>,
    /// Whether the lists in force were confirmed as the newest.
    pub is_confirmed: bool,
    /// Findings of a snapshot that was refused.
    pub refused: Option<Findings>,
}

/// What the feed holds, for other threads.
#[derive(Clone, Debug, Default)]
pub struct FeedView {
    /// Snapshot in force.
    pub snapshot: Option<Snapshot>,
    /// Customer keys of the lists in force.
    pub keys: Arc<CustomerKeys>,
    /// Lists in force.
    pub lists: Arc<Lists>,
    /// Known host list.
    pub hosts: Arc<HostList>,
    /// When the lists were last confirmed as the newest.
    pub confirmed_at_us: Option<TimeUs>,
}

impl FeedView {
    /// Whether lists and hosts are known, so that work can be accepted.
    pub fn is_ready(&self) -> bool {
        self.snapshot.is_some() && self.hosts.revision > Revision::ZERO
    }
}

/// Lists and hosts of this process.
pub struct Feed {
    platform: Platform,
    pool: WorkerPool,
    sender: FeedSender,
    metrics: CommonMetrics,
    store: ListStore,
    view: Arc<ArcSwap<FeedView>>,
}

impl Feed {
    /// Feed that holds nothing yet.
    pub fn new(platform: Platform, sender: FeedSender, metrics: CommonMetrics) -> Self {
        Self {
            platform,
            pool: WorkerPool::new("feed", 4),
            sender,
            metrics,
            store: ListStore::new(),
            view: Arc::default(),
        }
    }

    /// View for other threads.
    pub fn view(&self) -> Arc<ArcSwap<FeedView>> {
        Arc::clone(&self.view)
    }

    /// Starts reading the platform.
    pub fn start(&self) {
        self.read_config();
        self.read_hosts();
    }

    fn read_config(&self) {
        let (platform, sender) = (self.platform.clone(), Arc::clone(&self.sender));
        let since = self.store.revision();
        self.metrics.platform_calls.inc();
        self.pool.execute(move || {
            let answer = if since == Revision::ZERO {
                platform.config()
            } else {
                platform.watch(since)
            };
            if answer.is_err() {
                thread::sleep(PLATFORM_PAUSE);
            }
            sender(FeedEvent::Config(answer));
        });
    }

    fn read_hosts(&self) {
        let (platform, sender) = (self.platform.clone(), Arc::clone(&self.sender));
        self.metrics.platform_calls.inc();
        self.pool.execute(move || {
            let answer = platform.hosts();
            thread::sleep(HOSTS_INTERVAL);
            sender(FeedEvent::Hosts(answer));
        });
    }

    /// Takes an event in and says what changed.
    pub fn handle(&mut self, now: TimeUs, event: FeedEvent) -> FeedUpdate {
        match event {
            FeedEvent::Config(answer) => {
                let update = answer
                    .map(|snapshot| self.offer(now, snapshot))
                    .unwrap_or_default();
                self.read_config();
                update
            }
            FeedEvent::Hosts(answer) => {
                let update = answer
                    .map(|hosts| self.take_hosts(hosts))
                    .unwrap_or_default();
                self.read_hosts();
                update
            }
        }
    }

    fn offer(&mut self, now: TimeUs, snapshot: Snapshot) -> FeedUpdate {
        let mut update = FeedUpdate::default();
        let is_current = snapshot.revision() == self.store.revision();
        match self.store.offer(snapshot) {
            Offer::Applied => {
                update.lists = self.store.lists().cloned();
                update.is_confirmed = true;
            }
            Offer::Older => update.is_confirmed = is_current,
            Offer::Invalid(findings) => {
                self.metrics.invalid_snapshots.inc();
                update.refused = Some(findings);
            }
        }
        if update.is_confirmed {
            self.publish(|view| view.confirmed_at_us = Some(now));
        }
        update
    }

    fn take_hosts(&mut self, hosts: HostList) -> FeedUpdate {
        if hosts.revision <= self.view.load().hosts.revision {
            return FeedUpdate::default();
        }
        let hosts = Arc::new(hosts);
        self.publish(|view| view.hosts = Arc::clone(&hosts));
        FeedUpdate {
            hosts: Some(hosts),
            ..FeedUpdate::default()
        }
    }

    fn publish(&self, change: impl FnOnce(&mut FeedView)) {
        let mut view = FeedView::clone(&self.view.load());
        view.snapshot = self.store.snapshot().cloned();
        view.lists = self.store.lists().cloned().unwrap_or_default();
        view.keys = self.store.keys().cloned().unwrap_or_default();
        change(&mut view);
        self.view.store(Arc::new(view));
    }
}
