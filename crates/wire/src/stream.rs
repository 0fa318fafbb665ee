//! Conversions of the messages on a decode stream, in both directions.

use cuminlead_protocol::{
    Chunk, DecodeControl, DecodeEvent, DecodeMode, DecodeOpen, DecodeResume, DecodeStart,
    FinishReason,
};
use cuminlead_types::{Attempt, AttemptId, Incarnation, SequenceNumber, Tokens};

use crate::envelope::{request_from_wire, request_to_wire};
use crate::error::{WireError, required};
use crate::proto;
use crate::proto::{decode_reply, decode_request};

/// Message from an entry on a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeMessage {
    /// First message of the stream.
    Open(DecodeOpen),
    /// Any later message.
    Control(DecodeControl),
}

impl From<DecodeOpen> for proto::DecodeRequest {
    fn from(open: DecodeOpen) -> Self {
        let envelope = Some(open.envelope.into());
        let body = match open.mode {
            DecodeMode::Start(start) => decode_request::Body::Start(proto::DecodeStart {
                envelope,
                kv: Some(start.kv.into()),
                first_sequence: start.first_sequence.0,
                output_max_tokens: start.output_max_tokens.0,
            }),
            DecodeMode::Resume(resume) => decode_request::Body::Resume(proto::DecodeResume {
                envelope,
                incarnation: resume.incarnation.0,
                next_sequence: resume.next_sequence.0,
            }),
        };
        Self { body: Some(body) }
    }
}

impl From<DecodeControl> for proto::DecodeRequest {
    fn from(control: DecodeControl) -> Self {
        let body = match control {
            DecodeControl::Acknowledge(sequence) => decode_request::Body::Acknowledge(sequence.0),
            DecodeControl::Cancel => decode_request::Body::Cancel(proto::Empty {}),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::DecodeRequest> for DecodeMessage {
    type Error = WireError;

    fn try_from(request: proto::DecodeRequest) -> Result<Self, WireError> {
        Ok(match required("body", request.body)? {
            decode_request::Body::Start(start) => Self::Open(DecodeOpen {
                envelope: required("envelope", start.envelope)?.try_into()?,
                mode: DecodeMode::Start(DecodeStart {
                    kv: required("kv", start.kv)?.into(),
                    first_sequence: SequenceNumber(start.first_sequence),
                    output_max_tokens: Tokens(start.output_max_tokens),
                }),
            }),
            decode_request::Body::Resume(resume) => Self::Open(DecodeOpen {
                envelope: required("envelope", resume.envelope)?.try_into()?,
                mode: DecodeMode::Resume(DecodeResume {
                    incarnation: Incarnation(resume.incarnation),
                    next_sequence: SequenceNumber(resume.next_sequence),
                }),
            }),
            decode_request::Body::Acknowledge(sequence) => {
                Self::Control(DecodeControl::Acknowledge(SequenceNumber(sequence)))
            }
            decode_request::Body::Cancel(_) => Self::Control(DecodeControl::Cancel),
        })
    }
}

impl From<DecodeEvent> for proto::DecodeReply {
    fn from(event: DecodeEvent) -> Self {
        let body = match event {
            DecodeEvent::Imported(state) => decode_reply::Body::Imported(state.into()),
            DecodeEvent::Chunk(chunk) => decode_reply::Body::Chunk(chunk.into()),
            DecodeEvent::Heartbeat(state) => decode_reply::Body::Heartbeat(state.into()),
            DecodeEvent::Failed { state, failure } => {
                decode_reply::Body::Failed(proto::DecodeFailed {
                    state: Some(state.into()),
                    failure: Some(failure.into()),
                })
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::DecodeReply> for DecodeEvent {
    type Error = WireError;

    fn try_from(reply: proto::DecodeReply) -> Result<Self, WireError> {
        Ok(match required("body", reply.body)? {
            decode_reply::Body::Imported(state) => Self::Imported(state.try_into()?),
            decode_reply::Body::Chunk(chunk) => Self::Chunk(chunk.try_into()?),
            decode_reply::Body::Heartbeat(state) => Self::Heartbeat(state.try_into()?),
            decode_reply::Body::Failed(failed) => Self::Failed {
                state: required("state", failed.state)?.try_into()?,
                failure: required("failure", failed.failure)?.try_into()?,
            },
        })
    }
}

impl From<Chunk> for proto::Chunk {
    fn from(chunk: Chunk) -> Self {
        Self {
            request: request_to_wire(chunk.id.request),
            attempt: chunk.id.attempt.0,
            incarnation: chunk.incarnation.0,
            sequence: chunk.sequence.0,
            text: chunk.text,
            tokens: chunk.tokens.0,
            finish: chunk.finish.map(|finish| finish.to_string()),
        }
    }
}

impl TryFrom<proto::Chunk> for Chunk {
    type Error = WireError;

    fn try_from(chunk: proto::Chunk) -> Result<Self, WireError> {
        let request = request_from_wire(&chunk.request)?;
        let finish: Option<Result<FinishReason, _>> = chunk.finish.map(|finish| finish.parse());
        Ok(Self {
            id: AttemptId {
                request,
                attempt: Attempt(chunk.attempt),
            },
            incarnation: Incarnation(chunk.incarnation),
            sequence: SequenceNumber(chunk.sequence),
            text: chunk.text,
            tokens: Tokens(chunk.tokens),
            finish: finish
                .transpose()
                .map_err(|_| WireError::Invalid("finish"))?,
        })
    }
}
