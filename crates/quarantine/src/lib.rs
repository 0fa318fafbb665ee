//! Quarantine of prompt parts that crash engines.
//!
//! Designed for a part of a prompt on which every engine crashes as soon as it begins to generate
//! output, in requests that arrive at any entry and differ in everything else. Without a quarantine,
//! each such request takes down one more engine and ends the streams of all other callers there.
//!
//! An engine that crashes while a run has not begun its output is evidence against the shared parts
//! of that prompt. Such a run is often a bystander, so a part is quarantined only after several
//! separate crashes, and output that is generated for a part clears it. Parts come in the order from
//! general to specific, and a quarantine should affect as few requests as possible, so the last
//! suspected part of a prompt is quarantined first and an earlier one only after more crashes.
//!
//! Alternatives: refusing the route or the caller affects sound requests, and quarantining whole
//! prompts alone has no effect on prompts that have only a part in common.
//!
//! Several processes see only some of the crashes each, so evidence has to be exchanged. Where
//! entries call engines themselves, agents keep the same table, get the reports of all entries and
//! name the quarantined parts in their replies. Where agents call engines, each agent states in its
//! replies the crashes of its engine, and each entry decides alone.

mod report_budget;

use std::cmp::Reverse;
use std::collections::HashMap;

use cuminlead_types::{BackendServerId, DurationUs, PromptPartId, RequestId, TimeUs};

pub use report_budget::ReportBudget;

/// Time of output after which an engine has not crashed on the beginning of it.
pub const SOUND_AFTER: DurationUs = DurationUs::from_ms(300);
/// Separate crashes after which the last suspected part of a prompt is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Separate crashes after which an earlier part is quarantined, which more requests have in common.
const CRASHES_TO_QUARANTINE_EARLIER: usize = 6;
/// Crashes closer together count as one: engines that fail at once share a cause, such as the loss
/// of a rack, that lies outside of the requests.
const SEPARATE_CRASH_INTERVAL: DurationUs = DurationUs::from_ms(300);
/// Reports about the same engine within this time are about the same crash; an engine takes longer
/// to start.
const SAME_CRASH_PERIOD: DurationUs = DurationUs::from_ms(2_000);
/// Time for which a crash counts.
const CRASH_RETENTION: DurationUs = DurationUs::from_ms(600_000);
/// First length of a quarantine; each further one of the same part is twice as long.
const QUARANTINE_INITIAL: DurationUs = DurationUs::from_ms(300_000);
/// Longest quarantine.
const QUARANTINE_MAX: DurationUs = DurationUs::from_ms(3_600_000);
/// Time after its end for which one crash renews a quarantine.
const PROBATION: DurationUs = DurationUs::from_ms(3_600_000);
/// Time for which output that was generated for a part excludes it from the suspects.
const SOUND_PERIOD: DurationUs = DurationUs::from_ms(2_000);
/// Most parts with evidence. The one with the oldest evidence is dropped first; parts in
/// quarantine are dropped last.
const EVIDENCE_MAX_COUNT: usize = 256;
/// Most parts of each kind in one [`QuarantineState`], which is part of each reply of an agent.
const SHARED_MAX_COUNT: usize = 16;
/// Most parts whose output is remembered.
const SOUND_MAX_COUNT: usize = 512;

/// Crash of an engine while a run had not begun its output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Engine that crashed.
    pub server: BackendServerId,
    /// Request of the run; `None` if its crashes are not connected by their request.
    pub request: Option<RequestId>,
    /// Shared parts of the run's prompt that may have caused the crash, in order.
    pub parts: Vec<PromptPartId>,
}

/// Part in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// Id of the part.
    pub part: PromptPartId,
    /// Time until the quarantine ends.
    pub remaining: DurationUs,
}

/// What processes tell each other about prompt parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineState {
    /// Parts in quarantine.
    pub quarantined: Vec<QuarantinedPart>,
    /// Parts with evidence that are not in quarantine.
    pub suspected: Vec<PromptPartId>,
}

/// Evidence against one part.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Separate crashes, oldest first.
    crashes: Vec<Crash>,
    updated_at: TimeUs,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Debug)]
struct Crash {
    server: BackendServerId,
    request: Option<RequestId>,
    at: TimeUs,
}

impl Crash {
    /// Whether a report at `at` is about this crash, or about one with the same cause outside of
    /// the requests.
    fn explains(&self, at: TimeUs, report: &CrashReport) -> bool {
        // Reports from several agents arrive in any order.
        let interval = at.since(self.at).max(self.at.since(at));
        if self.server == report.server {
            return interval < SAME_CRASH_PERIOD;
        }
        // A request that was sent again after a crash connects the two crashes.
        let is_repeat = self.request.is_some() && self.request == report.request;
        !is_repeat && interval < SEPARATE_CRASH_INTERVAL
    }
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: TimeUs,
    length: DurationUs,
}

impl Evidence {
    fn is_quarantined(&self, now: TimeUs) -> bool {
        self.quarantine
            .is_some_and(|quarantine| now < quarantine.until)
    }

    fn is_on_probation(&self, now: TimeUs) -> bool {
        self.quarantine
            .is_some_and(|quarantine| now < quarantine.until + PROBATION)
    }

    /// Whether the evidence no longer matters.
    fn is_expired(&self, now: TimeUs) -> bool {
        now.since(self.updated_at) >= CRASH_RETENTION && !self.is_on_probation(now)
    }

    /// Adds a crash, unless it is one of those that count already.
    fn add_crash(&mut self, at: TimeUs, report: &CrashReport) {
        self.crashes
            .retain(|crash| at.since(crash.at) < CRASH_RETENTION);
        let is_counted = self.crashes.iter().any(|crash| crash.explains(at, report));
        self.updated_at = self.updated_at.max(at);
        if !is_counted && self.crashes.len() < CRASHES_TO_QUARANTINE_EARLIER {
            self.crashes.push(Crash {
                server: report.server.clone(),
                request: report.request,
                at,
            });
        }
    }

    /// Begins a quarantine, or a longer one if the last ended recently.
    fn begin_quarantine(&mut self, now: TimeUs) {
        let length = match self.quarantine {
            Some(last) if self.is_on_probation(now) => last
                .length
                .saturating_add(last.length)
                .clamp(QUARANTINE_INITIAL, QUARANTINE_MAX),
            _ => QUARANTINE_INITIAL,
        };
        self.quarantine = Some(Quarantine {
            until: now + length,
            length,
        });
        self.crashes.clear();
    }
}

/// Prompt parts that are suspected of crashing engines or in quarantine.
#[derive(Clone, Debug, Default)]
pub struct PromptQuarantine {
    evidence: HashMap<PromptPartId, Evidence>,
    /// When output was last generated for a part.
    sound_at: HashMap<PromptPartId, TimeUs>,
}

impl PromptQuarantine {
    /// Parts that may be to blame if an engine crashes now; for others, output was generated
    /// recently.
    pub fn suspects(&self, now: TimeUs, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        let is_sound = |part: &&PromptPartId| {
            let sound_at = self.sound_at.get(*part);
            sound_at.is_some_and(|at| now.since(*at) < SOUND_PERIOD)
        };
        parts
            .iter()
            .filter(|part| !is_sound(part))
            .cloned()
            .collect()
    }

    /// Records a crash at the given time; returns the part that it puts into quarantine, if any.
    pub fn record_crash(&mut self, at: TimeUs, report: &CrashReport) -> Option<PromptPartId> {
        // A crash that a quarantined part explains is no evidence against the others.
        if self.find_quarantined(at, &report.parts).is_some() {
            return None;
        }
        for part in &report.parts {
            let evidence = self.evidence.entry(part.clone()).or_default();
            evidence.add_crash(at, report);
        }
        let quarantined = self.find_blamed(at, &report.parts);
        if let Some(part) = &quarantined {
            let evidence = self.evidence.entry(part.clone()).or_default();
            evidence.begin_quarantine(at);
        }
        self.limit_evidence(at);
        quarantined
    }

    /// Records that output was generated for the parts of a prompt; returns those that it clears.
    pub fn record_sound(&mut self, now: TimeUs, parts: &[PromptPartId]) -> Vec<PromptPartId> {
        for part in parts {
            self.sound_at.insert(part.clone(), now);
        }
        if self.sound_at.len() > SOUND_MAX_COUNT {
            self.sound_at.retain(|_, at| now.since(*at) < SOUND_PERIOD);
        }
        parts
            .iter()
            .filter(|part| self.evidence.remove(*part).is_some())
            .cloned()
            .collect()
    }

    /// Quarantined part of a prompt whose quarantine lasts longest.
    pub fn find_quarantined(&self, now: TimeUs, parts: &[PromptPartId]) -> Option<QuarantinedPart> {
        let quarantined = parts.iter().filter_map(|part| self.quarantined(now, part));
        quarantined.max_by_key(|quarantined| quarantined.remaining)
    }

    /// State for other processes: the longest quarantines and the newest suspicions.
    pub fn state(&self, now: TimeUs) -> QuarantineState {
        let parts = self.evidence.keys();
        let mut quarantined: Vec<_> = parts
            .filter_map(|part| self.quarantined(now, part))
            .collect();
        quarantined.sort_by_key(|quarantined| Reverse(quarantined.remaining));
        quarantined.truncate(SHARED_MAX_COUNT);
        let mut suspected: Vec<_> = self
            .evidence
            .iter()
            .filter(|(_, evidence)| !evidence.is_expired(now) && !evidence.is_quarantined(now))
            .collect();
        suspected.sort_by_key(|(_, evidence)| Reverse(evidence.updated_at));
        suspected.truncate(SHARED_MAX_COUNT);
        QuarantineState {
            quarantined,
            suspected: suspected
                .into_iter()
                .map(|(part, _)| part.clone())
                .collect(),
        }
    }

    /// Adopts the state of another process; returns the parts whose quarantine is new here.
    /// Suspected parts are adopted so that [`Self::record_sound`] returns them.
    pub fn learn(&mut self, now: TimeUs, state: QuarantineState) -> Vec<PromptPartId> {
        let mut learned = Vec::new();
        for QuarantinedPart { part, remaining } in state.quarantined {
            if !self.is_quarantined(now, &part) {
                learned.push(part.clone());
            }
            let evidence = self.evidence.entry(part).or_default();
            let length = remaining.min(QUARANTINE_MAX);
            let until = now + length;
            evidence.updated_at = now;
            if evidence.quarantine.is_none_or(|known| known.until < until) {
                evidence.quarantine = Some(Quarantine { until, length });
            }
        }
        for part in state.suspected {
            self.evidence.entry(part).or_default().updated_at = now;
        }
        self.limit_evidence(now);
        learned
    }

    /// Number of parts with evidence.
    pub fn evidence_count(&self) -> usize {
        self.evidence.len()
    }

    fn quarantined(&self, now: TimeUs, part: &PromptPartId) -> Option<QuarantinedPart> {
        let quarantine = self.evidence.get(part)?.quarantine?;
        (now < quarantine.until).then(|| QuarantinedPart {
            part: part.clone(),
            remaining: quarantine.until.since(now),
        })
    }

    fn is_quarantined(&self, now: TimeUs, part: &PromptPartId) -> bool {
        let evidence = self.evidence.get(part);
        evidence.is_some_and(|evidence| evidence.is_quarantined(now))
    }

    /// Last part with enough crashes for a quarantine; on probation one is enough.
    fn find_blamed(&self, now: TimeUs, parts: &[PromptPartId]) -> Option<PromptPartId> {
        let last = parts.last()?;
        let is_blamed = |part: &&PromptPartId| {
            let Some(evidence) = self.evidence.get(*part) else {
                return false;
            };
            let required_count = if evidence.is_on_probation(now) {
                1
            } else if *part == last {
                CRASHES_TO_QUARANTINE
            } else {
                CRASHES_TO_QUARANTINE_EARLIER
            };
            evidence.crashes.len() >= required_count
        };
        parts.iter().rev().find(is_blamed).cloned()
    }

    fn limit_evidence(&mut self, now: TimeUs) {
        if self.evidence.len() <= EVIDENCE_MAX_COUNT {
            return;
        }
        self.evidence
            .retain(|_, evidence| !evidence.is_expired(now));
        while self.evidence.len() > EVIDENCE_MAX_COUNT {
            let oldest = self
                .evidence
                .iter()
                .min_by_key(|(_, evidence)| (evidence.is_quarantined(now), evidence.updated_at))
                .map(|(part, _)| part.clone());
            let Some(oldest) = oldest else { return };
            self.evidence.remove(&oldest);
        }
    }
}
