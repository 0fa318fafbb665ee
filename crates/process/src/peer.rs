//! gRPC service that distributes lists and the host list to other processes, and its client.

use std::pin::Pin;
use std::time::Duration;

use cuminlead_distribution::{Event, FollowRef, PartEncoding, Revisions, Update};
use cuminlead_telemetry::{CommonMetrics, Label};
use cuminlead_wire::peer::pull_request;
use cuminlead_wire::proto::peer_client::PeerClient as TonicClient;
use cuminlead_wire::proto::peer_server::Peer;
use cuminlead_wire::{LISTS_MAX_BYTES, proto};
use prost::Message;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::feed::{FOLLOWER_QUEUE_UPDATES, FeedEvent, FeedSender};
use crate::secret::PeerSecret;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// gRPC service for other processes.
#[derive(Clone)]
pub struct PeerRpc {
    sender: FeedSender,
    secret: PeerSecret,
}

impl PeerRpc {
    /// Service that forwards requests to a feed and rejects those without the secret.
    pub fn new(sender: FeedSender, secret: PeerSecret) -> Self {
        Self { sender, secret }
    }
}

#[tonic::async_trait]
impl Peer for PeerRpc {
    type FollowStream = Pin<Box<dyn Stream<Item = Result<proto::PeerUpdate, Status>> + Send>>;

    async fn follow(
        &self,
        request: Request<proto::PullRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        self.secret.check(&request)?;
        let revisions = Revisions::from(request.get_ref());
        let encoding = PartEncoding::from(request.get_ref());
        let host = request.into_inner().host;
        let (updates, receiver) = mpsc::channel(FOLLOWER_QUEUE_UPDATES);
        (self.sender)(FeedEvent::FollowerConnected {
            host,
            revisions,
            encoding,
            updates,
        });
        Ok(Response::new(Box::pin(
            ReceiverStream::new(receiver).map(Ok),
        )))
    }

    async fn pull(
        &self,
        request: Request<proto::PullRequest>,
    ) -> Result<Response<proto::PeerUpdate>, Status> {
        self.secret.check(&request)?;
        let revisions = Revisions::from(request.get_ref());
        let encoding = PartEncoding::from(request.get_ref());
        let host = request.into_inner().host;
        let (reply, reply_receiver) = oneshot::channel();
        (self.sender)(FeedEvent::Pull {
            host,
            revisions,
            encoding,
            reply,
        });
        let update = reply_receiver
            .await
            .map_err(|_| Status::unavailable("the process has stopped"))?;
        Ok(Response::new(update))
    }
}

/// gRPC client of other processes; opens a connection for each call.
#[derive(Clone, Debug)]
pub struct PeerClient {
    host: String,
    secret: PeerSecret,
}

impl PeerClient {
    /// Client that identifies itself as the process on `host`.
    pub fn new(host: String, secret: PeerSecret) -> Self {
        Self { host, secret }
    }

    /// Follows a peer and reports its updates to `sender`; reports `FollowStreamClosed` when the
    /// stream ends, cannot be opened or carries a malformed update.
    pub fn follow(
        &self,
        address: String,
        revisions: Revisions,
        follow: FollowRef,
        sender: FeedSender,
        metrics: CommonMetrics,
    ) -> impl Future<Output = ()> + Send + 'static {
        let client = self.clone();
        async move {
            if let Some(mut updates) = client.open(&address, revisions).await {
                while let Ok(Some(message)) = updates.message().await {
                    let Some(update) = count_and_decode(&metrics, message) else {
                        break;
                    };
                    sender(FeedEvent::Distribution(Event::FollowUpdate {
                        follow,
                        update,
                    }));
                }
            }
            sender(FeedEvent::Distribution(Event::FollowStreamClosed {
                follow,
            }));
        }
    }

    /// Pulls the changes since `since` from a peer; `None` if the call fails, times out or returns
    /// a malformed update.
    pub fn pull(
        &self,
        address: String,
        since: Revisions,
        encoding: PartEncoding,
        metrics: CommonMetrics,
    ) -> impl Future<Output = Option<Update>> + Send + 'static {
        let client = self.clone();
        async move {
            let pending_reply = async {
                let request = client.request(since, encoding);
                client.connect(&address).await?.pull(request).await.ok()
            };
            let reply = tokio::time::timeout(PULL_TIMEOUT, pending_reply)
                .await
                .ok()
                .flatten()?;
            count_and_decode(&metrics, reply.into_inner())
        }
    }

    async fn open(
        &self,
        address: &str,
        revisions: Revisions,
    ) -> Option<tonic::Streaming<proto::PeerUpdate>> {
        let mut client = self.connect(address).await?;
        let reply = client
            .follow(self.request(revisions, PartEncoding::Patch))
            .await
            .ok()?;
        Some(reply.into_inner())
    }

    async fn connect(&self, address: &str) -> Option<TonicClient<Channel>> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .connect()
            .await
            .ok()?;
        Some(TonicClient::new(channel).max_decoding_message_size(LISTS_MAX_BYTES))
    }

    fn request(&self, revisions: Revisions, encoding: PartEncoding) -> Request<proto::PullRequest> {
        let mut request = Request::new(pull_request(&self.host, revisions, encoding));
        self.secret.attach(&mut request);
        request
    }
}

fn count_and_decode(metrics: &CommonMetrics, message: proto::PeerUpdate) -> Option<Update> {
    let bytes = message.encoded_len() as u64;
    let label = Label::new("direction", "received");
    metrics
        .control_bytes
        .get_or_create_owned(&label)
        .inc_by(bytes);
    Update::try_from(message).ok()
}
