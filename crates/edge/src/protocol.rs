//! The HTTP protocol of a deployment: how requests and responses of callers, servers and operators are written.

use std::fmt::Debug;
use std::time::Duration;

use base::{Code, Name};
use bytes::Bytes;
use fleet::{Listed, Notice, Report, StoreDelta};
use http::{HeaderMap, Response, request, response};
use node::admin::Admin;
use node::forward::{Attempt, Change, Rejection, RequestHead, ResponseHead};

/// An HTTP request to a server or to the platform.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A page of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Servers on the page.
    pub servers: Vec<Listed>,
    /// Token of the next page.
    pub next: Option<String>,
}

/// Translates between one deployment's HTTP messages and the types of the reducer; makes no decisions.
pub trait Protocol: Debug {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// A description of the error.
    fn parse_request(&self, request: &request::Parts) -> Result<RequestHead, String>;

    /// Headers of an attempt of the request with this ID, made from the caller's end-to-end headers; `after` is the ID of
    /// the last event that the caller received.
    fn upstream_headers(
        &self,
        id: &str,
        headers: HeaderMap,
        to: &Attempt,
        after: Option<&str>,
    ) -> HeaderMap;

    /// Parses the head of a server's response to the request with this ID; its connection is left empty.
    fn parse_response_head(&self, id: &str, response: &response::Parts) -> ResponseHead;

    /// Parses the rate limit, leaving and backoff notices in the head of a server's response.
    fn parse_notice(&self, status: u16, headers: &HeaderMap) -> Notice;

    /// The response with which this entry rejects the request with this ID.
    fn rejection_response(&self, id: &str, rejection: &Rejection) -> Response<Bytes>;

    /// Parses an operator's request.
    ///
    /// # Errors
    /// The result code and a description of the error.
    fn parse_operator_request(
        &self,
        request: &request::Parts,
        body: &[u8],
        at_ms: u64,
    ) -> Result<Admin, (Code, String)>;

    /// The request for a page of the server list; without a token, for the first one.
    fn list_request(&self, page_token: Option<&str>) -> Call;

    /// Parses a page of the server list.
    ///
    /// # Errors
    /// A description of the error.
    fn parse_list_page(&self, body: &[u8]) -> Result<Page, String>;

    /// The report request to the server with this identity; any other server must reject it.
    fn report_request(&self, id: &str) -> Call;

    /// Parses a server's report.
    ///
    /// # Errors
    /// A description of the error.
    fn parse_report(&self, body: &[u8]) -> Result<Report, String>;

    /// The request to a store for its events from a number on, for which it may wait for `wait`, or without a number
    /// for its complete inventory.
    fn store_request(&self, since: Option<u64>, wait: Duration) -> Call;

    /// Parses the inventory of a store (`complete`) or its events.
    ///
    /// # Errors
    /// A description of the error.
    fn parse_store_delta(&self, complete: bool, body: &[u8]) -> Result<StoreDelta, String>;

    /// The request to free segments, by salt and ID, on a store with this incarnation; `until_ms` is the time on its
    /// clock from which it must refuse.
    fn free_request(&self, epoch: u64, until_ms: Option<u64>, segments: &[(Name, u64)]) -> Call;

    /// The request that orders a server to load a weight version.
    fn version_change_request(&self, change: &Change, holder: &str) -> Call;
}
