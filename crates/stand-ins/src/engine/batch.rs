//! Continuous batching with chunked prefill: each step computes a chunk of one prompt and one token
//! of each decoding sequence.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::Engine;
use super::reports::LoadReport;
use super::state::{Phase, Sequence, State};

/// Most prompt tokens computed in one step.
const PREFILL_STEP_TOKENS: u64 = 512;

/// Exit status of an engine that crashes on a prompt.
const CRASH_STATUS: i32 = 70;

/// Sequences that one step computes.
#[derive(Default)]
struct Step {
    prefill: Option<String>,
    prefill_tokens: u64,
    decodes: Vec<String>,
}

impl Engine {
    pub(super) fn run_batches(&self) {
        loop {
            self.behaviour.wait_while_stalled();
            let step = self.next_step();
            std::thread::sleep(self.duration(&step));
            self.behaviour.wait_while_stalled();
            let mut state = self.lock();
            self.apply(&mut state, &step);
            self.reports().record(Instant::now(), report(&state));
            drop(state);
            self.changed.notify_all();
        }
    }

    fn next_step(&self) -> Step {
        let mut state = self.lock();
        loop {
            let step = self.plan(&state);
            if step.prefill.is_some() || !step.decodes.is_empty() {
                return step;
            }
            self.reports().record(Instant::now(), report(&state));
            state = self.wait(state);
        }
    }

    fn plan(&self, state: &State) -> Step {
        let mut step = Step::default();
        let mut prefills =
            by_priority(state, |phase| matches!(phase, Phase::Prefill { .. })).into_iter();
        if let Some(id) = prefills.next() {
            if let Some(Phase::Prefill { left }) = state.sequences.get(&id).map(|s| &s.phase) {
                step.prefill_tokens = PREFILL_STEP_TOKENS.min(*left);
            }
            step.prefill = Some(id);
        }
        step.decodes = by_priority(state, |phase| matches!(phase, Phase::Decode { .. }));
        step.decodes.truncate(self.config.batch_max);
        step
    }

    fn duration(&self, step: &Step) -> Duration {
        let rate = self.config.prefill_tokens_per_second.max(1);
        let prefill = Duration::from_micros(step.prefill_tokens * 1_000_000 / rate);
        if step.decodes.is_empty() {
            return prefill;
        }
        let count = u32::try_from(step.decodes.len()).unwrap_or(u32::MAX);
        prefill + self.config.step + self.config.step_per_sequence * count
    }

    fn apply(&self, state: &mut State, step: &Step) {
        if let Some(id) = &step.prefill {
            self.apply_prefill(state, id, step.prefill_tokens);
        }
        for id in &step.decodes {
            self.crash_if_configured(state, id);
            apply_decode(state, id);
        }
    }

    /// Ends the process if the prompt of a sequence has the configured text.
    fn crash_if_configured(&self, state: &State, id: &str) {
        let prompt = state.sequences.get(id).map(|sequence| &sequence.prompt);
        let (Some(text), Some(prompt)) = (&self.config.crash_text, prompt) else {
            return;
        };
        if prompt.contains(text) {
            std::process::exit(CRASH_STATUS);
        }
    }

    fn apply_prefill(&self, state: &mut State, id: &str, tokens: u64) {
        let Some(sequence) = state.sequences.get_mut(id) else {
            return;
        };
        let Phase::Prefill { left } = &mut sequence.phase else {
            return;
        };
        *left = left.saturating_sub(tokens);
        let is_done = *left == 0;
        state.counts.computed_tokens += tokens;
        if is_done {
            sequence.phase = Phase::Computed;
            state.counts.prefills += 1;
            state.counts.cached_tokens += sequence.cached_tokens;
            let changes = state.cache.store(&sequence.prompt);
            self.reports().add_changes(Instant::now(), &changes);
        }
    }
}

fn apply_decode(state: &mut State, id: &str) {
    let Some(sequence) = state.sequences.get_mut(id) else {
        return;
    };
    let Phase::Decode {
        generation,
        emitted,
    } = &mut sequence.phase
    else {
        return;
    };
    if *emitted < generation.count {
        *emitted += 1;
        state.counts.generated_tokens += 1;
    }
    let generation = *generation;
    if *emitted == generation.count {
        state.counts.decodes += 1;
        state.finish(id, generation);
    }
}

/// Ids of the sequences in the selected phase: higher priority first, then earlier arrival.
fn by_priority(state: &State, is_selected: fn(&Phase) -> bool) -> Vec<String> {
    let selected = state
        .sequences
        .iter()
        .filter(|pair| is_selected(&pair.1.phase));
    let mut selected: Vec<_> = selected.collect();
    selected.sort_by_key(|pair| scheduling_key(pair.1));
    selected.into_iter().map(|pair| pair.0.clone()).collect()
}

fn scheduling_key(sequence: &Sequence) -> impl Ord + use<> {
    (Reverse(sequence.priority), sequence.arrival)
}

fn report(state: &State) -> LoadReport {
    LoadReport {
        running: state.decoding_count(),
        waiting: state.sequences.len() - state.decoding_count(),
        free_pieces: state.free_pieces(),
        pending_prompt_tokens: state.pending_prompt_tokens(),
    }
}
