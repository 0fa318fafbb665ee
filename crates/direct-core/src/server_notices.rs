//! What backend servers say about themselves in their responses.
//!
//! A server says it about one incarnation and to this process, whatever the registry publishes. An
//! entry of the registry may lapse while its server lives, for instance when the two are cut off
//! from each other; the server is then dropped from the table and published again later. Its limit,
//! its pause and its word that it is leaving must outlast that, or the server gets the requests that
//! it has asked not to get.
//!
//! Alternative: keep dropped servers in the table. Every user of the table would have to skip them.

use std::collections::HashMap;

use cuminlead_types::{BackendServerId, DurationUs, MillirequestsPerSecond, TimeUs, UnixMs};

use crate::servers::Server;

/// Time for which notices are kept after they were last of effect. Servers that leave end within
/// seconds to minutes.
const NOTICE_RETENTION: DurationUs = DurationUs::from_ms(3_600_000);

/// What a server says about itself in the head of any response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Requests that the server accepts from all processes together, for as long as it says so.
    pub limit: Option<MillirequestsPerSecond>,
    /// Whether the server is about to end and wants no further requests.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this process.
    pub pause: Option<DurationUs>,
}

/// Changes that a notice makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChanges {
    /// Whether the limit is another one than before.
    pub is_limit_changed: bool,
    /// Whether the server says for the first time that it is leaving.
    pub is_leaving_new: bool,
}

/// Limit that a server has named for the requests of all processes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedLimit {
    /// Rate that it accepts.
    pub rate: MillirequestsPerSecond,
    /// When the last response with it was received.
    pub named_at: TimeUs,
}

/// Incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Id of the server.
    pub id: BackendServerId,
    /// When the server says that it started.
    pub started_at_ms: UnixMs,
}

/// Standing notices of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StandingNotices {
    started_at_ms: UnixMs,
    pub(crate) limit: Option<NamedLimit>,
    pub(crate) pause_until: TimeUs,
    pub(crate) leaving_since: Option<TimeUs>,
}

impl StandingNotices {
    fn new(started_at_ms: UnixMs) -> Self {
        Self {
            started_at_ms,
            limit: None,
            pause_until: TimeUs::ZERO,
            leaving_since: None,
        }
    }

    /// Last time at which one of the notices was given or was of effect.
    fn effective_at(&self) -> TimeUs {
        let named_at = self.limit.map_or(TimeUs::ZERO, |limit| limit.named_at);
        let leaving_since = self.leaving_since.unwrap_or(TimeUs::ZERO);
        named_at.max(leaving_since).max(self.pause_until)
    }

    fn is_empty(&self) -> bool {
        self.limit.is_none() && self.leaving_since.is_none() && self.pause_until == TimeUs::ZERO
    }
}

/// Limit after a response with the given one, or with none.
///
/// Responses may overtake each other, so one without a limit lifts it only if its request was sent
/// after the limit was last named.
pub(crate) fn next_limit(
    now: TimeUs,
    sent_at: TimeUs,
    known: Option<NamedLimit>,
    rate: Option<MillirequestsPerSecond>,
) -> Option<NamedLimit> {
    match (rate, known) {
        (Some(rate), _) => Some(NamedLimit {
            rate,
            named_at: now,
        }),
        (None, Some(known)) if sent_at < known.named_at => Some(known),
        (None, _) => None,
    }
}

/// Standing notices of servers that are not in the table, and of all servers that are leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct NoticeStore {
    notices: HashMap<BackendServerId, StandingNotices>,
}

impl NoticeStore {
    /// Notices of an incarnation.
    pub(crate) fn find(
        &self,
        id: &BackendServerId,
        started_at_ms: UnixMs,
    ) -> Option<&StandingNotices> {
        let notices = self.notices.get(id)?;
        (notices.started_at_ms == started_at_ms).then_some(notices)
    }

    /// Keeps the notices of a server that is dropped from the table.
    pub(crate) fn keep(&mut self, server: &Server) {
        let record = &server.record;
        let mut notices = StandingNotices::new(record.started_at_ms);
        notices.limit = server.limit;
        notices.pause_until = server.pause_until;
        let known = self.find(&record.id, record.started_at_ms);
        notices.leaving_since = known.and_then(|known| known.leaving_since);
        self.set(&record.id, notices);
    }

    /// Records a notice of a server that is not in the table.
    pub(crate) fn record(
        &mut self,
        now: TimeUs,
        sent_at: TimeUs,
        incarnation: &Incarnation,
        notice: &ServerNotice,
    ) {
        let known = self.find(&incarnation.id, incarnation.started_at_ms);
        let mut notices = known
            .copied()
            .unwrap_or(StandingNotices::new(incarnation.started_at_ms));
        notices.limit = next_limit(now, sent_at, notices.limit, notice.limit);
        if let Some(pause) = notice.pause {
            notices.pause_until = notices.pause_until.max(now + pause);
        }
        if notice.is_leaving {
            notices.leaving_since.get_or_insert(now);
        }
        self.set(&incarnation.id, notices);
    }

    /// Records that a server says that it is leaving; returns whether that is new.
    pub(crate) fn record_leaving(&mut self, now: TimeUs, server: &Server) -> bool {
        let record = &server.record;
        let known = self.find(&record.id, record.started_at_ms).copied();
        let mut notices = known.unwrap_or(StandingNotices::new(record.started_at_ms));
        if notices.leaving_since.is_some() {
            return false;
        }
        notices.leaving_since = Some(now);
        self.set(&record.id, notices);
        true
    }

    /// Replaces the notices of a server, unless those known are of a later incarnation.
    fn set(&mut self, id: &BackendServerId, notices: StandingNotices) {
        let known = self.notices.get(id);
        if known.is_some_and(|known| known.started_at_ms > notices.started_at_ms) {
            return;
        }
        if notices.is_empty() {
            self.notices.remove(id);
        } else {
            self.notices.insert(id.clone(), notices);
        }
    }

    /// Forgets notices that have had no effect for long.
    pub(crate) fn expire(&mut self, now: TimeUs) {
        self.notices
            .retain(|_, notices| now.since(notices.effective_at()) < NOTICE_RETENTION);
    }
}
