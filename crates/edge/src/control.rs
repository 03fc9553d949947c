//! The operators' HTTP listener of a process that runs on one thread.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::Code;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::admin::{self, Admin};
use node::{Event, ResponseHead, api};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::unix_ms;
use crate::meter::{Counted, Meter, Socket};
use crate::metrics::Metrics;
use crate::response::{self, CompleteResponse};
use crate::{Input, Inputs, Protocol, accept, operators, start};

/// Longest wait for a request, and for the next one on an idle connection.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// State of the listener.
#[derive(Debug)]
pub struct Control {
    /// Protocol of the deployment; without it the listener serves the product's own protocol and the metrics.
    pub protocol: Option<Rc<dyn Protocol>>,
    /// Receives the requests.
    pub inputs: Inputs,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// Serves operators until the runtime ends.
pub async fn run(listener: TcpListener, control: Rc<Control>) {
    loop {
        let socket = accept::next(&listener, "operators' listener").await;
        spawn_local(connection(socket, control.clone()));
    }
}

async fn connection(socket: TcpStream, control: Rc<Control>) {
    let meter = Meter::default();
    let socket = Socket::new(socket, meter.clone());
    let service = service_fn(move |request| exchange(control.clone(), meter.request(request)));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(ARRIVAL_TIMEOUT);
    if let Err(error) = builder.serve_connection(TokioIo::new(socket), service).await {
        log::debug!("operator's connection: {error}");
    }
}

async fn exchange(
    control: Rc<Control>,
    request: Request<Counted>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    if control.protocol.is_none() && path == "/metrics" {
        let (head, body) = operators::plain(control.metrics.text());
        return Ok(response(head, body));
    }
    let body =
        match timeout(ARRIVAL_TIMEOUT, Limited::new(body, operators::MAX_BODY as usize).collect())
            .await
        {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Ok(reject(Code::BadBody, &error.to_string())),
            Err(_) => return Ok(reject(Code::SlowCaller, "the body did not arrive in time")),
        };
    let parsed = match &control.protocol {
        Some(protocol) => protocol.parse_operator_request(&head, &body, unix_ms()),
        None => admin::parse(&to_request(&head, path, &body), unix_ms()),
    };
    Ok(match parsed {
        Ok(admin) => query(&control, admin).await,
        Err((code, text)) => {
            log::info!(code = code.number(), text:% = text; "operator request rejected");
            reject(code, &text)
        }
    })
}

fn to_request(head: &http::request::Parts, path: String, body: &Bytes) -> api::Request {
    let headers = head.headers.iter().map(|(name, value)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    api::Request {
        method: head.method.as_str().to_owned(),
        path,
        headers: headers.collect(),
        body: body.to_vec(),
    }
}

async fn query(control: &Control, admin: Admin) -> Response<Full<Bytes>> {
    let call = start::call_number();
    let (sender, mut receiver) = response::pair();
    let event = Event::Admin { call, admin: Box::new(admin) };
    let mut complete = CompleteResponse::default();
    if control.inputs.send(Input::Open { call, sender, event }).is_ok() {
        while let Some(event) = receiver.events.recv().await {
            if complete.push(&receiver, event) {
                break;
            }
        }
    }
    response(complete.head, complete.body)
}

fn reject(code: Code, text: &str) -> Response<Full<Bytes>> {
    let (head, body) = api::rejection(None, code, text, Duration::ZERO);
    response(head, body)
}

fn response(head: ResponseHead, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut builder =
        Response::builder().status(head.status).header("content-type", head.content_type);
    for (name, value) in head.headers {
        builder = builder.header(name, value);
    }
    // All headers are set by this process, so none can be invalid.
    builder.body(Full::new(body.into())).unwrap_or_default()
}
