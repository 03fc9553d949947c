//! How a deployment speaks: the words for what the edges exchange with callers, servers and operators.

use std::fmt::Debug;
use std::time::Duration;

use base::{Code, Name};
use bytes::Bytes;
use fleet::{Listed, Notice, Report, StoreDelta};
use http::{HeaderMap, Response, request, response};
use node::admin::Admin;
use node::forward::{Attempt, Change, Rejection, RequestHead, ResponseHead};

/// A call to a server or to the platform.
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

/// A page of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Its entries.
    pub servers: Vec<Listed>,
    /// Where the next page begins.
    pub next: Option<String>,
}

/// The words of one deployment; only translates, and never decides.
pub trait Protocol: Debug {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// What is wrong with it.
    fn parse_request(&self, request: &request::Parts) -> Result<RequestHead, String>;

    /// Headers of a try at a server, made from the caller's without those of one connection;
    /// `after` is the last event that the caller has.
    fn upstream_headers(&self, headers: HeaderMap, to: &Attempt, after: Option<&str>) -> HeaderMap;

    /// Reads the head of a server's answer to the request with this ID.
    fn parse_response_head(&self, id: &str, response: &response::Parts) -> ResponseHead;

    /// What the head of a server's answer says of what it takes.
    fn parse_notice(&self, status: u16, headers: &HeaderMap) -> Notice;

    /// A final answer of this entry's own to the request with this ID.
    fn rejection_response(&self, id: &str, refusal: &Rejection) -> Response<Bytes>;

    /// Reads an operator's request.
    ///
    /// # Errors
    /// The code and a text that says what is wrong.
    fn parse_operator_request(
        &self,
        request: &request::Parts,
        body: &[u8],
        at_ms: u64,
    ) -> Result<Admin, (Code, String)>;

    /// The call that reads a page of the list of servers, the first without a mark.
    fn list_request(&self, from: Option<&str>) -> Call;

    /// Reads a page of the list.
    ///
    /// # Errors
    /// What is wrong with it.
    fn parse_list_page(&self, body: &[u8]) -> Result<Page, String>;

    /// The call that asks the server of this identity what it holds; any other must refuse.
    fn report_request(&self, id: &str) -> Call;

    /// Reads a server's report.
    ///
    /// # Errors
    /// What is wrong with it.
    fn parse_report(&self, body: &[u8]) -> Result<Report, String>;

    /// The call that asks a store for its events from a number on, waiting this long for one, or
    /// for all that it holds.
    fn store_request(&self, since: Option<u64>, wait: Duration) -> Call;

    /// Reads what a store told: all that it holds, or its events.
    ///
    /// # Errors
    /// What is wrong with it.
    fn parse_store_delta(&self, whole: bool, body: &[u8]) -> Result<StoreDelta, String>;

    /// The call that frees parts, by salt and ID, on a store that lives as stated.
    fn free_request(&self, epoch: u64, parts: &[(Name, u64)]) -> Call;

    /// The call that orders a server to a weight version.
    fn version_change_request(&self, change: &Change, holder: &str) -> Call;
}
