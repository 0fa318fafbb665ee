//! Differential test of permits against a naive implementation that scans a log of events.

use std::fmt::Debug;
use std::str::FromStr;
use std::sync::Arc;

use cuminlead_lists::{Lists, Server, ServerAssignment};
use cuminlead_permits::{Permits, PermitsConfig, RunOutcome};
use cuminlead_protocol::{
    AgentFailure, HttpResponse, IssuePermit, PermitIssued, PermitOutcome, RefusalReason, ReplyBody,
    RunCall,
};
use cuminlead_types::{BackendServerId, DurationUs, Incarnation, Now, PermitId, TimeUs, UnixMs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const PERMIT_TTL_US: u64 = 2_000;
const OUTCOME_RETENTION_US: u64 = 20_000;
const KEY_RETENTION_US: u64 = 12_000;
const KEY_STALENESS_US: u64 = 12_000;

#[derive(Clone, Debug)]
struct Issue {
    request: u128,
    key: Option<u8>,
    /// Age of the key as the caller states it.
    age_ms: Option<u64>,
}

#[derive(Clone, Debug)]
enum Op {
    Issue(Issue),
    Start(usize, u128),
    Finish(usize, u8),
    Query(usize),
    Lists(bool),
    Confirm,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let key = proptest::option::of(0..3_u8);
    let age_ms = proptest::option::weighted(0.8, 0..8_u64);
    let issue = (0..4_u128, key, age_ms).prop_map(|(request, key, age_ms)| Issue {
        request,
        key,
        age_ms,
    });
    prop_oneof![
        5 => issue.prop_map(Op::Issue),
        6 => (0..4_usize, 0..4_u128).prop_map(|(back, request)| Op::Start(back, request)),
        5 => (0..4_usize, 0..3_u8).prop_map(|(back, outcome)| Op::Finish(back, outcome)),
        3 => (0..9_usize).prop_map(Op::Query),
        1 => proptest::bool::weighted(0.2).prop_map(Op::Lists),
        4 => Just(Op::Confirm),
        5 => (0..1_500_u64).prop_map(Op::Wait),
        1 => (0..15_000_u64).prop_map(Op::Wait),
    ]
}

fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn lists(has_second_server: bool) -> Lists {
    let mut lists = Lists::default();
    for name in ["a", "b"].iter().take(1 + usize::from(has_second_server)) {
        let id: BackendServerId = parse(name);
        let assignment = ServerAssignment::Service(parse("s"));
        Arc::make_mut(&mut lists.servers).insert(id.clone(), Server { id, assignment });
    }
    lists
}

fn permit(number: usize) -> PermitId {
    let (incarnation, number) = (Incarnation(0), number as u64);
    PermitId {
        incarnation,
        number,
    }
}

/// Events of one permit, as times in microseconds.
#[derive(Clone, Debug)]
struct PermitLog {
    request: u128,
    key: Option<u8>,
    issued_at: u64,
    started_at: Option<u64>,
    ended: Option<(u64, PermitOutcome)>,
    voided_at: Option<u64>,
    reported: Option<PermitOutcome>,
}

impl PermitLog {
    fn outcome(&self, now: u64) -> Option<PermitOutcome> {
        let expired_at = self
            .started_at
            .is_none()
            .then_some(self.issued_at + PERMIT_TTL_US);
        let voided_at = self.voided_at.or(expired_at.filter(|at| *at <= now));
        let retention_us = if self.key.is_some() {
            KEY_RETENTION_US
        } else {
            OUTCOME_RETENTION_US
        };
        match (&self.ended, voided_at) {
            (_, Some(at)) => (now < at + OUTCOME_RETENTION_US).then_some(PermitOutcome::Voided),
            (Some((at, outcome)), _) => (now < at + retention_us).then(|| outcome.clone()),
            _ => Some(PermitOutcome::Running),
        }
    }

    fn is_unused(&self, now: u64) -> bool {
        self.started_at.is_none() && self.outcome(now) == Some(PermitOutcome::Running)
    }

    /// Whether the call may have reached the service within the retention period.
    fn may_have_run(&self, now: u64) -> bool {
        let end = self.ended.as_ref().map_or(u64::MAX, |(at, _)| *at);
        self.started_at.is_some()
            && self.voided_at.is_none()
            && now < end.saturating_add(KEY_RETENTION_US)
    }

    fn report(&mut self, outcome: PermitOutcome) {
        let may_become = |old: &PermitOutcome| match old {
            PermitOutcome::Running => true,
            old => *old == outcome || outcome == PermitOutcome::Unknown,
        };
        assert!(
            self.reported.as_ref().is_none_or(may_become),
            "{self:?} then reported {outcome:?}"
        );
        self.reported = Some(outcome);
    }
}

struct Comparison {
    real: Permits,
    permit_logs: Vec<PermitLog>,
    now_us: u64,
    has_second_server: bool,
    confirmed_at: Option<u64>,
    changed_at: Option<u64>,
}

impl Comparison {
    fn new() -> Self {
        let mut config = PermitsConfig::new(parse("a"), Incarnation(0));
        config.permit_ttl_us = DurationUs(PERMIT_TTL_US);
        config.outcome_retention_us = DurationUs(OUTCOME_RETENTION_US);
        config.key_retention_us = DurationUs(KEY_RETENTION_US);
        config.key_staleness_us = DurationUs(KEY_STALENESS_US);
        config.clock_margin_us = DurationUs(1_000);
        let mut real = Permits::new(Now::default(), config);
        real.apply_lists(Now::default(), &lists(false));
        Self {
            real,
            permit_logs: Vec::new(),
            now_us: 0,
            has_second_server: false,
            confirmed_at: None,
            changed_at: None,
        }
    }

    fn now(&self) -> Now {
        Now {
            mono_us: TimeUs(self.now_us),
            unix_ms: UnixMs(self.now_us / 1_000),
        }
    }

    fn key_issued_ms(&self, issue: &Issue) -> Option<u64> {
        let now_ms = self.now_us / 1_000 + 2;
        issue.age_ms.map(|age| now_ms.saturating_sub(age))
    }

    fn apply(&mut self, op: Op) {
        let number = |back: usize| self.permit_logs.len().checked_sub(back + 1);
        match op {
            Op::Issue(issue) => self.issue(&issue),
            Op::Start(back, request) => number(back).map_or((), |n| self.start(n, request)),
            Op::Finish(back, code) => number(back).map_or((), |n| self.finish(n, code)),
            Op::Query(back) => number(back).map_or((), |n| self.query(n)),
            Op::Lists(has_second_server) => {
                self.changed_at = (has_second_server != self.has_second_server)
                    .then_some(self.now_us)
                    .or(self.changed_at);
                self.has_second_server = has_second_server;
                self.real.apply_lists(self.now(), &lists(has_second_server));
            }
            Op::Confirm => {
                self.confirmed_at = Some(self.now_us);
                self.real.confirm_lists(TimeUs(self.now_us));
            }
            Op::Wait(us) => self.now_us += us,
        }
    }

    fn issue(&mut self, issue: &Issue) {
        let mut message = IssuePermit {
            service: parse("s"),
            key: issue.key.map(|key| parse(&format!("k{key}"))),
            key_issued_at_ms: self.key_issued_ms(issue).map(UnixMs),
            ..Default::default()
        };
        message.envelope.customer = parse("c");
        message.envelope.id.request.0 = issue.request;
        let reply = self
            .real
            .issue(self.now(), &lists(self.has_second_server), &message);
        assert_eq!(reply, self.naive_issue(issue));
    }

    fn naive_issue(&mut self, issue: &Issue) -> ReplyBody {
        if let Some(reply) = issue
            .key
            .and_then(|key| self.naive_reply_for_key(issue, key))
        {
            return reply;
        }
        self.permit_logs.push(PermitLog {
            request: issue.request,
            key: issue.key,
            issued_at: self.now_us,
            started_at: None,
            ended: None,
            voided_at: None,
            reported: None,
        });
        ReplyBody::PermitIssued(PermitIssued {
            permit: permit(self.permit_logs.len() - 1),
            expires_in_us: DurationUs(PERMIT_TTL_US),
        })
    }

    fn naive_reply_for_key(&mut self, issue: &Issue, key: u8) -> Option<ReplyBody> {
        let refused = |reason| Some(ReplyBody::Failed(AgentFailure::Refused(reason)));
        let score = |server: &str| {
            let text = format!("c\0s\0k{key}\0{server}\0");
            xxh3_64_with_seed(text.as_bytes(), 0x6375_6d69_6e6b_6579)
        };
        if self.has_second_server && score("b") > score("a") {
            return refused(RefusalReason::NotOwner);
        }
        if self
            .confirmed_at
            .is_none_or(|at| self.now_us - at >= KEY_STALENESS_US)
        {
            return refused(RefusalReason::ListsUnconfirmed);
        }
        for log in self
            .permit_logs
            .iter_mut()
            .filter(|log| log.key == Some(key))
        {
            match log.outcome(self.now_us) {
                None | Some(PermitOutcome::Voided) => {}
                Some(PermitOutcome::Done(http)) => return Some(ReplyBody::KeyReplayed(http)),
                Some(PermitOutcome::Unknown) => return Some(ReplyBody::KeyUnknown),
                Some(_) if log.started_at.is_none() && log.request == issue.request => {
                    log.voided_at = Some(self.now_us);
                    return None;
                }
                Some(PermitOutcome::Running) => return Some(ReplyBody::KeyRunning),
            }
        }
        let since_change = self.now_us - self.changed_at.unwrap_or(0);
        let is_old =
            self.now_us >= KEY_RETENTION_US && since_change >= KEY_RETENTION_US + KEY_STALENESS_US;
        let certainly_new_ms = 1 + (self.changed_at.unwrap_or(0) + KEY_STALENESS_US) / 1_000;
        let certainly_new = certainly_new_ms..=self.now_us / 1_000 + 1;
        let is_new = self
            .key_issued_ms(issue)
            .is_some_and(|ms| certainly_new.contains(&ms));
        (!is_old && !is_new).then_some(ReplyBody::KeyUnknown)
    }

    fn start(&mut self, number: usize, request: u128) {
        let mut message = RunCall {
            service: parse("s"),
            permit: Some(permit(number)),
            ..Default::default()
        };
        message.envelope.customer = parse("c");
        message.envelope.id.request.0 = request;
        let log = &self.permit_logs[number];
        let expected = log.is_unused(self.now_us) && log.request == request;
        let is_started = self.real.start(TimeUs(self.now_us), &message).is_ok();
        assert_eq!(is_started, expected);
        if is_started {
            let same_key = |other: &&PermitLog| other.key.is_some() && other.key == log.key;
            let mut earlier = self.permit_logs.iter().filter(same_key);
            assert!(
                !earlier.any(|other| other.may_have_run(self.now_us)),
                "a key ran twice"
            );
            assert_ne!(
                log.reported,
                Some(PermitOutcome::Voided),
                "a voided permit ran"
            );
            self.permit_logs[number].started_at = Some(self.now_us);
        }
    }

    fn finish(&mut self, number: usize, code: u8) {
        let body = vec![u8::try_from(number).unwrap_or(u8::MAX)];
        let http = HttpResponse {
            body,
            ..Default::default()
        };
        let (run, expected) = match code {
            0 => (
                RunOutcome::Answered(http.clone()),
                PermitOutcome::Done(http),
            ),
            1 => (RunOutcome::NotSent, PermitOutcome::Voided),
            _ => (RunOutcome::Lost, PermitOutcome::Unknown),
        };
        let outcome = self.real.finish(TimeUs(self.now_us), permit(number), &run);
        let log = &mut self.permit_logs[number];
        if log.started_at.is_some() && log.ended.is_none() {
            log.ended = Some((self.now_us, expected.clone()));
            log.voided_at = (code == 1).then_some(self.now_us);
            assert_eq!(outcome, expected);
            log.report(outcome);
        }
    }

    fn query(&mut self, number: usize) {
        let mut other = permit(number);
        other.incarnation.0 += 1;
        let unknown = ReplyBody::PermitOutcome(PermitOutcome::Unknown);
        assert_eq!(self.real.query(TimeUs(self.now_us), other), unknown);
        let log = &mut self.permit_logs[number];
        if log.is_unused(self.now_us) {
            log.voided_at = Some(self.now_us);
        }
        let expected = log.outcome(self.now_us).unwrap_or(PermitOutcome::Unknown);
        let reply = self.real.query(TimeUs(self.now_us), permit(number));
        assert_eq!(reply, ReplyBody::PermitOutcome(expected.clone()));
        log.report(expected);
    }
}

/// Guards against a call that runs twice under one permit or key, a call that ran although it was
/// reported as voided, a reported outcome that changes later, and any difference from the naive
/// implementation of the rules.
#[test]
fn matches_naive_implementation() {
    let config = Config {
        cases: 3_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let ops = proptest::collection::vec(op(), 1..120);
    let run = |ops: Vec<Op>| {
        let mut comparison = Comparison::new();
        ops.into_iter().for_each(|op| comparison.apply(op));
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&ops, run)
        .unwrap();
}
