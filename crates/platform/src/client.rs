//! Clients of the platform's services over HTTP.

use {
    crate::{
        kv::{Condition, Key, Revision, StoreError, StoredRow, Txn, TxnAnswer, Write},
        listing::{Listing, slices::SliceList},
        traits::{ObjectStore, TableService, VmList},
    },
    glade_http::{Answer, Bytes, Full, HttpError, Method, Pool, Request},
    glade_types::CallOutcome,
    std::{net::SocketAddr, time::Duration},
};

/// Time allowed for one exchange with the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Path of the VM list.
const SLICES_PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";

/// The JSON messages of the etcd v3 key-value API, as far as this system uses them. 64-bit numbers
/// travel as strings and bytes as base64, as proto3's JSON mapping says.
pub mod etcd_json {
    use serde::{Deserialize, Serialize};

    /// `KeyValue`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct KeyValue {
        /// Base64 of the key.
        pub key: String,
        /// Base64 of the value.
        #[serde(default)]
        pub value: String,
        /// Decimal modification revision.
        #[serde(default)]
        pub mod_revision: String,
    }

    /// `RangeRequest`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct RangeRequest {
        /// Base64 of the first key.
        pub key: String,
        /// Base64 of the end of the range, exclusive; empty for a single key.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub range_end: String,
    }

    /// `RangeResponse`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct RangeResponse {
        /// The rows found.
        #[serde(default)]
        pub kvs: Vec<KeyValue>,
    }

    /// `Compare` of a modification revision.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct Compare {
        /// Base64 of the key.
        pub key: String,
        /// Always `MOD`.
        pub target: String,
        /// Always `EQUAL`.
        pub result: String,
        /// Decimal modification revision.
        pub mod_revision: String,
    }

    /// `PutRequest`.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct PutRequest {
        /// Base64 of the key.
        pub key: String,
        /// Base64 of the value.
        pub value: String,
    }

    /// `RequestOp`: exactly one member is present.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct RequestOp {
        /// A read.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request_range: Option<RangeRequest>,
        /// A write.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request_put: Option<PutRequest>,
        /// A removal.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request_delete_range: Option<RangeRequest>,
    }

    /// `TxnRequest`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct TxnRequest {
        /// Conditions.
        pub compare: Vec<Compare>,
        /// Operations if all conditions hold.
        pub success: Vec<RequestOp>,
        /// Operations otherwise.
        pub failure: Vec<RequestOp>,
    }

    /// `ResponseHeader`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct Header {
        /// Decimal revision of the store.
        pub revision: String,
    }

    /// `ResponseOp`, as far as reads are concerned.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct ResponseOp {
        /// Answer to a read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub response_range: Option<RangeResponse>,
    }

    /// `TxnResponse`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct TxnResponse {
        /// Revision after the transaction.
        pub header: Header,
        /// Whether the conditions held.
        #[serde(default)]
        pub succeeded: bool,
        /// Answers to the operations.
        #[serde(default)]
        pub responses: Vec<ResponseOp>,
    }

    /// Encodes bytes as the API does.
    pub fn encode(bytes: &[u8]) -> String {
        use base64::Engine;
        base64::engine::general_purpose::STANDARD.encode(bytes)
    }

    /// Decodes bytes as the API does.
    pub fn decode(text: &str) -> Option<Vec<u8>> {
        use base64::Engine;
        base64::engine::general_purpose::STANDARD.decode(text).ok()
    }

    /// First key after all keys that start with `prefix`.
    pub fn prefix_end(prefix: &str) -> Vec<u8> {
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        end
    }
}

use etcd_json::{
    Compare, KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
    decode, encode, prefix_end,
};

/// Client of the table service.
#[derive(Debug)]
pub struct EtcdTable {
    addr: SocketAddr,
    pool: Pool,
}

impl EtcdTable {
    /// Returns a client; it connects when first used.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, pool: Pool::new() }
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Answer, StoreError> {
        exchange(&self.pool, self.addr, Method::POST, path, body).await
    }

    async fn range(&self, request: &RangeRequest) -> Result<Vec<StoredRow>, StoreError> {
        let answer = self.post("/v3/kv/range", to_json(request)).await?;
        let response: RangeResponse = from_json(&answer)?;
        response.kvs.iter().map(stored_row).collect()
    }
}

impl TableService for EtcdTable {
    async fn transact(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        let answer = self.post("/v3/kv/txn", to_json(&txn_request(txn))).await?;
        let response: TxnResponse = from_json(&answer)?;
        if response.succeeded {
            return Ok(TxnAnswer::Committed(Revision::new(number(&response.header.revision)?)));
        }
        let ranges = response.responses.iter().filter_map(|op| op.response_range.as_ref());
        let rows: Result<Vec<StoredRow>, StoreError> =
            ranges.flat_map(|range| &range.kvs).map(stored_row).collect();
        Ok(TxnAnswer::Conflict(rows?))
    }

    async fn read(&self, key: &Key) -> Result<Option<StoredRow>, StoreError> {
        let request = RangeRequest { key: encode(key.as_str().as_bytes()), ..Default::default() };
        Ok(self.range(&request).await?.pop())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, StoreError> {
        let key = encode(prefix.as_bytes());
        self.range(&RangeRequest { key, range_end: encode(&prefix_end(prefix)) }).await
    }
}

/// The transaction as the API's message. On failure it reads the rows of the conditions.
fn txn_request(txn: &Txn) -> TxnRequest {
    let key_of = |key: &Key| encode(key.as_str().as_bytes());
    let compare = |cond: &Condition| Compare {
        key: key_of(&cond.key),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: cond.revision.number.to_string(),
    };
    let read = |cond: &Condition| RequestOp {
        request_range: Some(RangeRequest { key: key_of(&cond.key), ..Default::default() }),
        ..Default::default()
    };
    let write = |write: &Write| match write {
        Write::Put { key, value } => RequestOp {
            request_put: Some(PutRequest { key: key_of(key), value: encode(value) }),
            ..Default::default()
        },
        Write::Delete { key } => RequestOp {
            request_delete_range: Some(RangeRequest { key: key_of(key), ..Default::default() }),
            ..Default::default()
        },
    };
    TxnRequest {
        compare: txn.conditions.iter().map(compare).collect(),
        success: txn.writes.iter().map(write).collect(),
        failure: txn.conditions.iter().map(read).collect(),
    }
}

fn stored_row(kv: &KeyValue) -> Result<StoredRow, StoreError> {
    let key = decode(&kv.key).and_then(|bytes| String::from_utf8(bytes).ok());
    let key = key.ok_or_else(|| malformed("key of a row"))?;
    let value = decode(&kv.value).ok_or_else(|| malformed("value of a row"))?;
    Ok(StoredRow { key: Key::new(&key), revision: Revision::new(number(&kv.mod_revision)?), value })
}

fn number(text: &str) -> Result<u64, StoreError> {
    text.parse().map_err(|_| malformed("revision"))
}

fn malformed(what: &str) -> StoreError {
    StoreError::Unknown { reason: format!("the {what} in the answer is malformed") }
}

fn to_json<T: serde::Serialize>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).expect("messages have only string keys")
}

fn from_json<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body)
        .map_err(|err| StoreError::Unknown { reason: format!("malformed answer: {err}") })
}

fn store_error(err: &HttpError) -> StoreError {
    let reason = err.to_string();
    match err.outcome() {
        CallOutcome::NotRun => StoreError::NotSent { reason },
        CallOutcome::Answered | CallOutcome::Unknown => StoreError::Unknown { reason },
    }
}

/// One exchange; a status other than success or 404 is an error with unknown effect.
async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, StoreError> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|err| StoreError::NotSent { reason: err.to_string() })?;
    let answer = pool.fetch(addr, req, PLATFORM_TIMEOUT).await.map_err(|err| store_error(&err))?;
    if answer.status.is_success() || answer.status.as_u16() == 404 {
        return Ok(answer);
    }
    Err(StoreError::Unknown { reason: format!("{addr} answered status {}", answer.status) })
}

/// Client of the object store.
#[derive(Debug)]
pub struct S3Objects {
    addr: SocketAddr,
    bucket: String,
    pool: Pool,
}

impl S3Objects {
    /// Returns a client of one bucket; it connects when first used.
    pub fn new(addr: SocketAddr, bucket: &str) -> Self {
        Self { addr, bucket: bucket.to_owned(), pool: Pool::new() }
    }

    fn path(&self, key: &str) -> String {
        format!("/{}/{key}", self.bucket)
    }
}

impl ObjectStore for S3Objects {
    async fn put(&self, key: &str, body: &[u8]) -> Result<(), StoreError> {
        let answer =
            exchange(&self.pool, self.addr, Method::PUT, &self.path(key), body.to_vec()).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(StoreError::Unknown { reason: format!("bucket {} does not exist", self.bucket) })
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let answer =
            exchange(&self.pool, self.addr, Method::GET, &self.path(key), Vec::new()).await?;
        Ok(answer.status.is_success().then(|| answer.body.to_vec()))
    }
}

/// Client of the VM list.
#[derive(Debug)]
pub struct SliceVmList {
    addr: SocketAddr,
    pool: Pool,
}

impl SliceVmList {
    /// Returns a client; it connects when first used.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, pool: Pool::new() }
    }
}

impl VmList for SliceVmList {
    async fn list(&self) -> Result<Listing, StoreError> {
        let answer = exchange(&self.pool, self.addr, Method::GET, SLICES_PATH, Vec::new()).await?;
        let list: SliceList = from_json(&answer)?;
        Ok(list.to_listing())
    }
}
