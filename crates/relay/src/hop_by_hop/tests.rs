//! Removal and parsing of hop-by-hop headers.

use {super::*, hyper::header::HeaderValue};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn strip_removes_only_hop_by_hop_headers() {
    let mut message = headers(&[
        ("connection", "keep-alive, x-once"),
        ("x-once", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "7"),
        ("accept", "*/*"),
        ("x-other", "1"),
    ]);
    strip(&mut message);
    let mut remaining: Vec<&str> = message.keys().map(HeaderName::as_str).collect();
    remaining.sort();
    assert_eq!(remaining, ["accept", "x-other"]);
}

#[test]
fn connection_close_and_keep_alive_timeout_are_parsed() {
    assert!(has_connection_close(&headers(&[("connection", "Close")])));
    assert!(has_connection_close(&headers(&[
        ("connection", "keep-alive"),
        ("connection", "x, close")
    ])));
    assert!(!has_connection_close(&headers(&[("connection", "keep-alive")])));
    assert_eq!(keep_alive_timeout_s(&headers(&[("keep-alive", "max=9, timeout=10")])), Some(10));
    assert_eq!(keep_alive_timeout_s(&headers(&[("keep-alive", "timeout=soon")])), None);
}

/// Guards against a panic after a whole answer: the time is added to the present one.
#[test]
fn an_endless_keep_alive_timeout_is_bounded() {
    for timeout in ["timeout=18446744073709551615", "timeout=9223372036854775807", "timeout=3601"] {
        assert_eq!(keep_alive_timeout_s(&headers(&[("keep-alive", timeout)])), Some(3600));
    }
    let too_large = headers(&[("keep-alive", "timeout=18446744073709551616")]);
    assert_eq!(keep_alive_timeout_s(&too_large), None);
}
