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

const TTL_US: u64 = 2_000;
const HOLD_US: u64 = 20_000;
const RETENTION_US: u64 = 12_000;
const STALENESS_US: u64 = 12_000;

#[derive(Clone, Debug)]
struct Issue {
    request: u128,
    key: Option<u8>,
    /// Age that the caller gives its key.
    age_ms: Option<u64>,
}

#[derive(Clone, Debug)]
enum Op {
    Issue(Issue),
    Start(usize, u128),
    Finish(usize, u8),
    Ask(usize),
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
        3 => (0..9_usize).prop_map(Op::Ask),
        1 => proptest::bool::weighted(0.2).prop_map(Op::Lists),
        4 => Just(Op::Confirm),
        5 => (0..1_500_u64).prop_map(Op::Wait),
        1 => (0..15_000_u64).prop_map(Op::Wait),
    ]
}

fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn lists(has_second: bool) -> Lists {
    let mut lists = Lists::default();
    for name in ["a", "b"].iter().take(1 + usize::from(has_second)) {
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

/// Log of one permit.
#[derive(Clone, Debug)]
struct Log {
    request: u128,
    key: Option<u8>,
    issued: u64,
    started: Option<u64>,
    ended: Option<(u64, PermitOutcome)>,
    voided: Option<u64>,
    told: Option<PermitOutcome>,
}

impl Log {
    fn outcome(&self, now: u64) -> Option<PermitOutcome> {
        let expired = self.started.is_none().then_some(self.issued + TTL_US);
        let voided = self.voided.or(expired.filter(|at| *at <= now));
        let hold = if self.key.is_some() {
            RETENTION_US
        } else {
            HOLD_US
        };
        match (&self.ended, voided) {
            (_, Some(at)) => (now < at + HOLD_US).then_some(PermitOutcome::Voided),
            (Some((at, outcome)), _) => (now < at + hold).then(|| outcome.clone()),
            _ => Some(PermitOutcome::Running),
        }
    }

    fn is_unused(&self, now: u64) -> bool {
        self.started.is_none() && self.outcome(now) == Some(PermitOutcome::Running)
    }

    /// Whether the call may have reached the service less than the retention time ago.
    fn may_have_run(&self, now: u64) -> bool {
        let end = self.ended.as_ref().map_or(u64::MAX, |(at, _)| *at);
        self.started.is_some() && self.voided.is_none() && now < end.saturating_add(RETENTION_US)
    }

    fn tell(&mut self, answer: PermitOutcome) {
        let may_become = |old: &PermitOutcome| match old {
            PermitOutcome::Running => true,
            old => *old == answer || answer == PermitOutcome::Unknown,
        };
        assert!(
            self.told.as_ref().is_none_or(may_become),
            "{self:?} told {answer:?}"
        );
        self.told = Some(answer);
    }
}

struct World {
    real: Permits,
    logs: Vec<Log>,
    at: u64,
    has_second: bool,
    confirmed: Option<u64>,
    changed: Option<u64>,
}

impl World {
    fn new() -> Self {
        let mut config = PermitsConfig::new(parse("a"), Incarnation(0));
        config.permit_ttl_us = DurationUs(TTL_US);
        config.outcome_hold_us = DurationUs(HOLD_US);
        config.key_retention_us = DurationUs(RETENTION_US);
        config.key_staleness_us = DurationUs(STALENESS_US);
        config.clock_margin_us = DurationUs(1_000);
        let mut real = Permits::new(Now::default(), config);
        real.apply_lists(Now::default(), &lists(false));
        Self {
            real,
            logs: Vec::new(),
            at: 0,
            has_second: false,
            confirmed: None,
            changed: None,
        }
    }

    fn now(&self) -> Now {
        Now {
            mono_us: TimeUs(self.at),
            unix_ms: UnixMs(self.at / 1_000),
        }
    }

    fn issued_ms(&self, issue: &Issue) -> Option<u64> {
        let now_ms = self.at / 1_000 + 2;
        issue.age_ms.map(|age| now_ms.saturating_sub(age))
    }

    fn apply(&mut self, op: Op) {
        let number = |back: usize| self.logs.len().checked_sub(back + 1);
        match op {
            Op::Issue(issue) => self.issue(&issue),
            Op::Start(back, request) => number(back).map_or((), |n| self.start(n, request)),
            Op::Finish(back, code) => number(back).map_or((), |n| self.finish(n, code)),
            Op::Ask(back) => number(back).map_or((), |n| self.ask(n)),
            Op::Lists(has_second) => {
                self.changed = (has_second != self.has_second)
                    .then_some(self.at)
                    .or(self.changed);
                self.has_second = has_second;
                self.real.apply_lists(self.now(), &lists(has_second));
            }
            Op::Confirm => {
                self.confirmed = Some(self.at);
                self.real.confirm_lists(TimeUs(self.at));
            }
            Op::Wait(us) => self.at += us,
        }
    }

    fn issue(&mut self, issue: &Issue) {
        let mut message = IssuePermit {
            service: parse("s"),
            key: issue.key.map(|key| parse(&format!("k{key}"))),
            key_issued_at_ms: self.issued_ms(issue).map(UnixMs),
            ..Default::default()
        };
        message.envelope.customer = parse("c");
        message.envelope.id.request.0 = issue.request;
        let reply = self
            .real
            .issue(self.now(), &lists(self.has_second), &message);
        assert_eq!(reply, self.naive_issue(issue));
    }

    fn naive_issue(&mut self, issue: &Issue) -> ReplyBody {
        if let Some(reply) = issue.key.and_then(|key| self.naive_key(issue, key)) {
            return reply;
        }
        self.logs.push(Log {
            request: issue.request,
            key: issue.key,
            issued: self.at,
            started: None,
            ended: None,
            voided: None,
            told: None,
        });
        ReplyBody::PermitIssued(PermitIssued {
            permit: permit(self.logs.len() - 1),
            expires_in_us: DurationUs(TTL_US),
        })
    }

    fn naive_key(&mut self, issue: &Issue, key: u8) -> Option<ReplyBody> {
        let refused = |reason| Some(ReplyBody::Failed(AgentFailure::Refused(reason)));
        let score = |server: &str| {
            let text = format!("c\0s\0k{key}\0{server}\0");
            xxh3_64_with_seed(text.as_bytes(), 0x6375_6d69_6e6b_6579)
        };
        if self.has_second && score("b") > score("a") {
            return refused(RefusalReason::NotOwner);
        }
        if self.confirmed.is_none_or(|at| self.at - at >= STALENESS_US) {
            return refused(RefusalReason::ListsUnconfirmed);
        }
        for log in self.logs.iter_mut().filter(|log| log.key == Some(key)) {
            match log.outcome(self.at) {
                None | Some(PermitOutcome::Voided) => {}
                Some(PermitOutcome::Done(http)) => return Some(ReplyBody::KeyReplayed(http)),
                Some(PermitOutcome::Unknown) => return Some(ReplyBody::KeyUnknown),
                Some(_) if log.started.is_none() && log.request == issue.request => {
                    log.voided = Some(self.at);
                    return None;
                }
                Some(PermitOutcome::Running) => return Some(ReplyBody::KeyRunning),
            }
        }
        let since_change = self.at - self.changed.unwrap_or(0);
        let is_old = self.at >= RETENTION_US && since_change >= RETENTION_US + STALENESS_US;
        let trusted_ms = 1 + (self.changed.unwrap_or(0) + STALENESS_US) / 1_000;
        let trusted = trusted_ms..=self.at / 1_000 + 1;
        let is_new = self
            .issued_ms(issue)
            .is_some_and(|ms| trusted.contains(&ms));
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
        let log = &self.logs[number];
        let expected = log.is_unused(self.at) && log.request == request;
        let is_started = self.real.start(TimeUs(self.at), &message).is_ok();
        assert_eq!(is_started, expected);
        if is_started {
            let same_key = |other: &&Log| other.key.is_some() && other.key == log.key;
            let mut earlier = self.logs.iter().filter(same_key);
            assert!(
                !earlier.any(|other| other.may_have_run(self.at)),
                "a key ran twice"
            );
            assert_ne!(log.told, Some(PermitOutcome::Voided), "a voided permit ran");
            self.logs[number].started = Some(self.at);
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
        let answer = self.real.finish(TimeUs(self.at), permit(number), &run);
        let log = &mut self.logs[number];
        if log.started.is_some() && log.ended.is_none() {
            log.ended = Some((self.at, expected.clone()));
            log.voided = (code == 1).then_some(self.at);
            assert_eq!(answer, expected);
            log.tell(answer);
        }
    }

    fn ask(&mut self, number: usize) {
        let mut other = permit(number);
        other.incarnation.0 += 1;
        let unknown = ReplyBody::PermitOutcome(PermitOutcome::Unknown);
        assert_eq!(self.real.ask(TimeUs(self.at), other), unknown);
        let log = &mut self.logs[number];
        if log.is_unused(self.at) {
            log.voided = Some(self.at);
        }
        let expected = log.outcome(self.at).unwrap_or(PermitOutcome::Unknown);
        let reply = self.real.ask(TimeUs(self.at), permit(number));
        assert_eq!(reply, ReplyBody::PermitOutcome(expected.clone()));
        log.tell(expected);
    }
}

/// Guards against a call that runs twice under one permit or key, a call that ran although it was
/// reported as voided, a reported outcome that changes later, and any difference from the naive
/// implementation of the rules.
#[test]
fn same_as_naive() {
    let config = Config {
        cases: 3_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let ops = proptest::collection::vec(op(), 1..120);
    let run = |ops: Vec<Op>| {
        let mut world = World::new();
        ops.into_iter().for_each(|op| world.apply(op));
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&ops, run)
        .unwrap();
}
