//! Stand-ins for the table service, the object store and the VM list.

use {
    crate::{faults::FaultSwitch, reply::json},
    glade_platform::{
        Condition, Key, Listing, MemoryTable, Revision, StoredRow, Txn, TxnAnswer, Write,
        etcd_json::{
            Header, KeyValue, RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest,
            TxnResponse, decode, encode,
        },
        slices::SliceList,
    },
    poem::{Body, Endpoint, IntoResponse, Request, Response, http::StatusCode},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Largest accepted request.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The table service.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableStandIn {
    pub(crate) faults: Arc<FaultSwitch>,
    table: Arc<Mutex<MemoryTable>>,
    writes: Arc<std::sync::atomic::AtomicU64>,
}

impl TableStandIn {
    /// Transactions committed so far.
    pub(crate) fn writes(&self) -> u64 {
        self.writes.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn range(&self, request: &RangeRequest) -> Option<RangeResponse> {
        let key = decode_key(&request.key)?;
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = if request.range_end.is_empty() {
            table.read(&Key::new(&key)).into_iter().collect()
        } else {
            table.scan(&key)
        };
        Some(RangeResponse { kvs: rows.iter().map(key_value).collect() })
    }

    fn transact(&self, request: &TxnRequest) -> Option<TxnResponse> {
        let conditions = request.compare.iter().map(|compare| {
            let revision = Revision::new(compare.mod_revision.parse().ok()?);
            Some(Condition { key: Key::new(&decode_key(&compare.key)?), revision })
        });
        let writes = request.success.iter().map(write);
        let txn = Txn {
            conditions: conditions.collect::<Option<Vec<_>>>()?,
            writes: writes.collect::<Option<Vec<_>>>()?,
        };
        let answer = self.table.lock().unwrap_or_else(PoisonError::into_inner).transact(&txn);
        Some(match answer {
            TxnAnswer::Committed(revision) => {
                self.writes.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                TxnResponse {
                    header: Header { revision: revision.number.to_string() },
                    succeeded: true,
                    responses: vec![],
                }
            }
            TxnAnswer::Conflict(rows) => TxnResponse {
                responses: rows
                    .iter()
                    .map(|row| ResponseOp {
                        response_range: Some(RangeResponse { kvs: vec![key_value(row)] }),
                    })
                    .collect(),
                ..TxnResponse::default()
            },
        })
    }
}

impl Endpoint for TableStandIn {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        if !self.faults.pass().await {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await?;
        let answer = match req.uri().path() {
            "/v3/kv/range" => serde_json::from_slice(&body)
                .ok()
                .and_then(|request| self.range(&request))
                .and_then(|response| serde_json::to_vec(&response).ok()),
            "/v3/kv/txn" => serde_json::from_slice(&body)
                .ok()
                .and_then(|request| self.transact(&request))
                .and_then(|response| serde_json::to_vec(&response).ok()),
            _ => return Ok(StatusCode::NOT_FOUND.into_response()),
        };
        if self.faults.take(|faults| &mut faults.lost_answers) {
            std::future::pending::<()>().await;
        }
        Ok(match answer {
            Some(body) => Body::from_vec(body).into_response(),
            None => StatusCode::BAD_REQUEST.into_response(),
        })
    }
}

fn decode_key(text: &str) -> Option<String> {
    String::from_utf8(decode(text)?).ok()
}

fn write(op: &RequestOp) -> Option<Write> {
    if let Some(put) = &op.request_put {
        let key = Key::new(&decode_key(&put.key)?);
        return Some(Write::Put { key, value: decode(&put.value)? });
    }
    let delete = op.request_delete_range.as_ref()?;
    Some(Write::Delete { key: Key::new(&decode_key(&delete.key)?) })
}

fn key_value(row: &StoredRow) -> KeyValue {
    KeyValue {
        key: encode(row.key.as_str().as_bytes()),
        value: encode(&row.value),
        mod_revision: row.revision.number.to_string(),
    }
}

/// The object store.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObjectStandIn {
    pub(crate) faults: Arc<FaultSwitch>,
    objects: Arc<Mutex<HashMap<String, Vec<u8>>>>,
}

impl Endpoint for ObjectStandIn {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        if !self.faults.pass().await {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        let path = req.uri().path().to_owned();
        let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await?;
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if req.method() == "PUT" {
            objects.insert(path, body.to_vec());
            return Ok(StatusCode::OK.into_response());
        }
        Ok(match objects.get(&path) {
            Some(object) => Body::from_vec(object.clone()).into_response(),
            None => StatusCode::NOT_FOUND.into_response(),
        })
    }
}

/// The VM list.
#[derive(Clone, Debug)]
pub(crate) struct ListStandIn {
    pub(crate) faults: Arc<FaultSwitch>,
    pub(crate) listing: Arc<Mutex<Listing>>,
}

impl Endpoint for ListStandIn {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        if !self.faults.pass().await {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        let listing = self.listing.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let list = SliceList::from_listing(&listing);
        Ok(json(&list))
    }
}
