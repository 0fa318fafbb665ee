//! Driver of a plain service over HTTP.
//!
//! Each command opens its own connection. If the service closes a reused connection, a client can't
//! tell whether its request was read, and some HTTP clients then send the request again.

use std::sync::Arc;
use std::time::Duration;

use cuminlead_kernel::{PluginInfo, PluginPoint, WorkerPool};
use cuminlead_process::http_client;
use cuminlead_process::response_head::check;
use cuminlead_protocol::{
    EngineCommand, HttpResponse, ServiceCallRef, ServiceCommand, ServiceEvent,
};
use ureq::http::{Request, header};
use ureq::{Agent, Error};

use super::engine::is_connect_failure;
use super::{Backend, BackendContext, BackendEvent, BackendEvents, BackendPlugin};

inventory::submit! { BackendPlugin { name: "service", build: ServiceBackend::build } }
inventory::submit! {
    PluginInfo {
        point: PluginPoint::Backend,
        name: "service",
        summary: "plain HTTP service, with calls that may not be idempotent",
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(100);
const RESPONSE_MAX_BYTES: u64 = 4 * 1024 * 1024;

struct ServiceBackend {
    pool: WorkerPool,
    client: Arc<ServiceClient>,
}

struct ServiceClient {
    base: String,
    http: Agent,
    events: BackendEvents,
}

impl ServiceBackend {
    fn build(context: BackendContext) -> Box<dyn Backend> {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(0)
            .allow_non_standard_methods(true)
            .build();
        let client = ServiceClient {
            base: format!("http://{}", context.address),
            http: http_client::backend_agent(config),
            events: context.events,
        };
        Box::new(Self {
            pool: context.pool,
            client: Arc::new(client),
        })
    }
}

impl Backend for ServiceBackend {
    fn command_engine(&self, _command: EngineCommand) {}

    fn command_service(&self, command: ServiceCommand, traceparent: String) {
        let client = Arc::clone(&self.client);
        self.pool
            .execute(move || client.run(&command, &traceparent));
    }

    fn has_inventory(&self) -> bool {
        false
    }
}

impl ServiceClient {
    fn run(&self, command: &ServiceCommand, traceparent: &str) {
        let event = match self.send(command, traceparent) {
            Ok(http) => ServiceEvent::Answered {
                run: command.run,
                http,
            },
            Err(Failure::NotSent) => ServiceEvent::NotSent { run: command.run },
            Err(Failure::Lost) => ServiceEvent::Lost { run: command.run },
        };
        (self.events)(BackendEvent::Service(event));
    }

    fn send(&self, command: &ServiceCommand, traceparent: &str) -> Result<HttpResponse, Failure> {
        let http = &command.http;
        let mut request = Request::builder()
            .method(http.method.as_str())
            .uri(format!("{}{}", self.base, http.path))
            .header("x-cuminlead-run", run_name(command.run));
        if !http.content_type.is_empty() {
            request = request.header(header::CONTENT_TYPE, &http.content_type);
        }
        if !traceparent.is_empty() {
            request = request.header("traceparent", traceparent);
        }
        let request = request
            .body(http.body.clone())
            .map_err(|_| Failure::NotSent)?;
        let method = request.method().clone();
        let mut response = self.http.run(request).map_err(Failure::from)?;
        check(&method, response.status(), response.headers()).map_err(|_| Failure::Lost)?;
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let content_type = content_type.to_string();
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(RESPONSE_MAX_BYTES)
            .read_to_vec();
        let body = body.map_err(|_| Failure::Lost)?;
        Ok(HttpResponse {
            status,
            content_type,
            body,
        })
    }
}

/// Value of the header that identifies the call, so that the service can log it.
fn run_name(run: ServiceCallRef) -> String {
    match run {
        ServiceCallRef::Permit(permit) => permit.to_string(),
        ServiceCallRef::Message(message) => format!("message-{message}"),
    }
}

enum Failure {
    NotSent,
    Lost,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        if is_connect_failure(&error) {
            Self::NotSent
        } else {
            Self::Lost
        }
    }
}
