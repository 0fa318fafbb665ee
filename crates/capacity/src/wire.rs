//! Measures the sizes of encoded messages and the times to encode and decode them, conversions
//! included.

use cuminlead_distribution::Update;
use cuminlead_lists::{Delta, HostDelta, PartKey, PartPatch, TextPatch};
use cuminlead_protocol::{
    AgentReply, AgentRequest, AgentState, Chunk, DecodeControl, DecodeEvent, KvHandle, LoadReport,
    Prefill, Prefilled, ReplyBody, Reserve, Reserved,
};
use cuminlead_types::{DurationUs, Incarnation, KvPieces, Revision, SequenceNumber, Slots, Tokens};
use cuminlead_wire::proto;
use cuminlead_wire::stream::DecodeMessage;
use prost::Message;

use crate::Report;
use crate::fixture::{
    CUSTOMERS_COUNT, DESIGN_LISTS, ENGINES_COUNT, change_customer, customers_text, envelope, host,
    hosts, name, part, prompt_parts, snapshot, target,
};
use crate::measure::Timings;

const PART_CUSTOMER_COUNTS: [usize; 4] = [1, 10, 100, 1_000];
const FULL_CUSTOMER_COUNTS: [usize; 3] = [440, 1_100, CUSTOMERS_COUNT];
const PROMPT_TOKEN_COUNTS: [usize; 3] = [100, 1_000, 10_000];
const REPEATS: usize = 2_000;
const LARGE_MESSAGE_REPEATS: usize = 15;

pub(crate) fn run(report: &mut Report) {
    updates(report);
    host_updates(report);
    requests(report);
    replies(report);
    stream_messages(report);
}

fn updates(report: &mut Report) {
    update(report, "wire_heartbeat", 0, &heartbeat(), REPEATS);
    for customers in PART_CUSTOMER_COUNTS {
        let changed = part("plans/group-000", 100_000, customers_text(0..customers, 1));
        let mut delta = heartbeat();
        delta.lists.parts = vec![changed];
        update(
            report,
            "wire_delta_of_one_part",
            customers,
            &delta,
            REPEATS / 10,
        );
    }
    for customers in PART_CUSTOMER_COUNTS {
        let old = customers_text(0..customers, 1);
        let new = change_customer(&old, customers / 2, 2);
        let mut delta = heartbeat();
        delta.patches = vec![PartPatch {
            key: PartKey::new("plans/group-000"),
            revision: Revision(100_000),
            change: TextPatch::between(&old, &new),
        }];
        update(
            report,
            "wire_patch_of_one_customer",
            customers,
            &delta,
            REPEATS / 10,
        );
    }
    for customers in FULL_CUSTOMER_COUNTS {
        let mut size = DESIGN_LISTS;
        size.customers = customers;
        let mut full = heartbeat();
        full.lists = snapshot(size, 100_000).delta_since(Revision(1));
        update(
            report,
            "wire_full_snapshot",
            customers,
            &full,
            LARGE_MESSAGE_REPEATS,
        );
    }
}

fn host_updates(report: &mut Report) {
    for count in [1, 2, 10] {
        let mut changed = heartbeat();
        changed.hosts.hosts = (0..count)
            .map(|number| host(number, Some(number)))
            .collect();
        update(report, "wire_delta_of_hosts", count, &changed, REPEATS);
    }
    let mut full = heartbeat();
    full.hosts.is_full = true;
    full.hosts.hosts = hosts(ENGINES_COUNT, 370, 1).hosts;
    let count = full.hosts.hosts.len();
    update(
        report,
        "wire_full_host_list",
        count,
        &full,
        LARGE_MESSAGE_REPEATS,
    );
}

fn heartbeat() -> Update {
    Update {
        lists: Delta {
            from_revision: Revision(99_999),
            revision: Revision(100_000),
            ..Delta::default()
        },
        hosts: HostDelta {
            from_revision: Revision(99_999),
            revision: Revision(100_000),
            ..HostDelta::default()
        },
        confirmed_age: DurationUs(1_234_567),
        hosts_confirmed_age: DurationUs(1_234_567),
        ..Update::default()
    }
}

fn update(report: &mut Report, quantity: &str, size: usize, update: &Update, repeats: usize) {
    let (mut encode_timings, mut decode_timings) = (Timings::default(), Timings::default());
    let mut bytes = Vec::new();
    for _ in 0..repeats {
        bytes = encode_timings.time(|| proto::PeerUpdate::from(update).encode_to_vec());
        let decoded = decode_timings.time(|| {
            let message = proto::PeerUpdate::decode(bytes.as_slice()).expect("decoded");
            Update::try_from(message)
        });
        assert!(decoded.is_ok());
    }
    add(
        report,
        quantity,
        size,
        bytes.len(),
        &encode_timings,
        &decode_timings,
    );
}

fn add(
    report: &mut Report,
    quantity: &str,
    size: usize,
    bytes: usize,
    encode_timings: &Timings,
    decode_timings: &Timings,
) {
    report.add(&format!("{quantity}_bytes"), "bytes", size, bytes as f64);
    report.add(
        &format!("{quantity}_encode"),
        "us",
        size,
        encode_timings.median(),
    );
    report.add(
        &format!("{quantity}_decode"),
        "us",
        size,
        decode_timings.median(),
    );
}

fn requests(report: &mut Report) {
    let reserve = AgentRequest::Reserve(Reserve {
        envelope: envelope(1),
        target: target(),
        prompt_tokens: Tokens(10_000),
        prompt_parts: prompt_parts(1),
        output_max_tokens: Tokens(200),
        lease_us: DurationUs::from_ms(10_000),
        due_us: DurationUs::from_ms(2_000),
        wait_max_us: DurationUs::from_ms(5_000),
        ..Reserve::default()
    });
    request(report, "wire_reserve", 1, &reserve);
    for prompt_tokens in PROMPT_TOKEN_COUNTS {
        let prefill = AgentRequest::Prefill(Prefill {
            envelope: envelope(1),
            target: target(),
            prompt: "p".repeat(4 * prompt_tokens),
            prompt_tokens: Tokens(prompt_tokens as u64),
            due_us: DurationUs::from_ms(2_000),
            wait_max_us: DurationUs::from_ms(5_000),
            ..Prefill::default()
        });
        request(report, "wire_prefill", prompt_tokens, &prefill);
    }
}

fn request(report: &mut Report, quantity: &str, size: usize, request: &AgentRequest) {
    let (mut encode_timings, mut decode_timings) = (Timings::default(), Timings::default());
    let mut bytes = Vec::new();
    for _ in 0..REPEATS {
        let sent = request.clone();
        bytes = encode_timings.time(|| proto::CallRequest::from(sent).encode_to_vec());
        let decoded = decode_timings.time(|| {
            let message = proto::CallRequest::decode(bytes.as_slice()).expect("decoded");
            AgentRequest::try_from(message)
        });
        assert!(decoded.is_ok());
    }
    add(
        report,
        quantity,
        size,
        bytes.len(),
        &encode_timings,
        &decode_timings,
    );
}

fn state() -> AgentState {
    AgentState {
        server: name("engine-0001"),
        incarnation: Incarnation(1_700_000_000_000),
        lists_revision: Revision(100_000),
        hosts_revision: Revision(100_000),
        draining: false,
        load: LoadReport {
            free_slots: Slots(3),
            free_pieces: KvPieces(100),
            running_count: 17,
            queued_count: 2,
            pending_prompt_tokens: Tokens(10_000),
            oldest_stall_us: DurationUs(12_345),
        },
        crashes: Vec::new(),
    }
}

fn replies(report: &mut Report) {
    let reserved = ReplyBody::Reserved(Reserved {
        expires_in_us: DurationUs::from_ms(10_000),
    });
    let prefilled = ReplyBody::Prefilled(Prefilled {
        kv: KvHandle {
            address: "10.0.0.1:7500".to_string(),
            handle: "kv-0000000000000001".to_string(),
        },
        prompt_tokens: Tokens(10_000),
        cached_tokens: Tokens(2_048),
        retained_for_us: DurationUs::from_ms(10_000),
    });
    for (quantity, body) in [("wire_reserved", reserved), ("wire_prefilled", prefilled)] {
        let (mut encode_timings, mut decode_timings) = (Timings::default(), Timings::default());
        let mut bytes = Vec::new();
        for _ in 0..REPEATS {
            let reply = AgentReply {
                state: state(),
                body: body.clone(),
            };
            bytes = encode_timings.time(|| proto::CallReply::from(reply).encode_to_vec());
            let decoded = decode_timings.time(|| {
                let message = proto::CallReply::decode(bytes.as_slice()).expect("decoded");
                AgentReply::try_from(message)
            });
            assert!(decoded.is_ok());
        }
        add(
            report,
            quantity,
            1,
            bytes.len(),
            &encode_timings,
            &decode_timings,
        );
    }
}

fn stream_messages(report: &mut Report) {
    let chunk = DecodeEvent::Chunk(Chunk {
        id: envelope(1 << 100).id,
        incarnation: Incarnation(1_700_000_000_000),
        sequence: SequenceNumber(100),
        text: "word ".to_string(),
        tokens: Tokens(1),
        finish: None,
    });
    stream_event(report, "wire_chunk", &chunk);
    stream_event(
        report,
        "wire_stream_heartbeat",
        &DecodeEvent::Heartbeat(state()),
    );
    let (mut encode_timings, mut decode_timings) = (Timings::default(), Timings::default());
    let mut bytes = Vec::new();
    for _ in 0..REPEATS {
        let control = DecodeControl::Acknowledge(SequenceNumber(100));
        bytes = encode_timings.time(|| proto::DecodeRequest::from(control).encode_to_vec());
        let decoded = decode_timings.time(|| {
            let message = proto::DecodeRequest::decode(bytes.as_slice()).expect("decoded");
            DecodeMessage::try_from(message)
        });
        assert!(decoded.is_ok());
    }
    add(
        report,
        "wire_acknowledgement",
        1,
        bytes.len(),
        &encode_timings,
        &decode_timings,
    );
}

fn stream_event(report: &mut Report, quantity: &str, event: &DecodeEvent) {
    let (mut encode_timings, mut decode_timings) = (Timings::default(), Timings::default());
    let mut bytes = Vec::new();
    for _ in 0..REPEATS {
        let sent = event.clone();
        bytes = encode_timings.time(|| proto::DecodeReply::from(sent).encode_to_vec());
        let decoded = decode_timings.time(|| {
            let message = proto::DecodeReply::decode(bytes.as_slice()).expect("decoded");
            DecodeEvent::try_from(message)
        });
        assert!(decoded.is_ok());
    }
    add(
        report,
        quantity,
        1,
        bytes.len(),
        &encode_timings,
        &decode_timings,
    );
}
