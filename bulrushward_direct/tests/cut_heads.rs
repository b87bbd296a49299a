//! Tests of responses that end within their heads.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use rstest::rstest;
use support::{
    request, router_with_servers,
    server::{Received, Step, TestServer, complete_stream, event},
};

/// How a server ends a connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Kind of response of which the head is cut off.
#[derive(Clone, Copy, Debug)]
enum Kind {
    WithLength,
    /// The body ends with the connection.
    WithoutLength,
    Stream,
}

impl Kind {
    fn head(self, id: &str) -> String {
        let headers = match self {
            Self::WithLength => "Content-Length: 8\r\n",
            Self::WithoutLength => "",
            Self::Stream => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        };
        format!("HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\n{headers}\r\n")
    }

    fn complete(self, req: &Received) -> Vec<Step> {
        match self {
            Self::Stream => complete_stream(req),
            Self::WithLength | Self::WithoutLength => {
                vec![support::server::ok_response(req, "complete")]
            }
        }
    }
}

/// Guards against responses that count as complete though the server ended within the head.
#[rstest]
fn a_response_that_ends_within_its_head_is_no_success(
    #[values(("lookup", Kind::WithLength), ("lookup", Kind::WithoutLength), ("action", Kind::WithLength),
        ("action", Kind::WithoutLength), ("stream", Kind::Stream), ("resumable", Kind::Stream), ("resumed", Kind::Stream))]
    case: (&'static str, Kind),
    #[values(End::Close, End::Reset)] end: End,
    #[values(false, true)] is_kept: bool,
) {
    let (route, kind) = case;
    let (cut_after, is_cut) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let (cut_at, cuts) = (Arc::clone(&cut_after), Arc::clone(&is_cut));
    let server = TestServer::start("s-1", move |req| {
        if !cuts.load(Ordering::SeqCst) {
            return kind.complete(req);
        }
        let head = kind.head(req.header("request").unwrap_or_default());
        let part = head.as_bytes()[..cut_at.load(Ordering::SeqCst)].to_vec();
        let end = match end {
            End::Close => Step::Close,
            End::Reset => Step::Reset,
        };
        vec![Step::Send(part), end]
    });
    let service = if matches!(kind, Kind::Stream) {
        "engines"
    } else {
        "plain"
    };
    let router = router_with_servers(service, &[&server]);
    let text = |id: &str| match route {
        "resumed" => request("POST", "resumable", id, "")
            .replace("Key:", "Resumes: kept\r\nLast-Event: 3\r\nKey:"),
        _ => request("POST", route, id, ""),
    };
    let len = kind.head("cut-100").len();
    let mut kept = 0;
    for cut in 0..len {
        is_cut.store(false, Ordering::SeqCst);
        if is_kept || route == "resumed" {
            // The version of the server is known from this stream.
            let complete = request(
                "POST",
                route.replace("resumed", "resumable").as_str(),
                "kept",
                "",
            );
            let complete = router.send(&complete);
            assert_eq!(complete.status, 200);
        }
        is_cut.store(true, Ordering::SeqCst);
        cut_after.store(cut, Ordering::SeqCst);
        let before = server.received().len();
        // Ids have one length, so that heads have one as well.
        let response = router.send(&text(&format!("cut-{:03}", cut + 100)));
        assert!(
            matches!(response.status, 502..=504),
            "status {} after {cut} bytes of {len}: {}",
            response.status,
            response.text()
        );
        let received = &server.received()[before..];
        kept += usize::from(received.iter().any(|req| req.earlier > 0));
    }
    if is_kept {
        assert!(kept > 0, "no request was sent on a kept connection");
    }
}

/// A body without a length that ends in order is complete; the test above cuts off such responses within their heads.
#[test]
fn a_stream_whose_head_is_complete_is_served() {
    let server = TestServer::start("s-1", |req| {
        let head = Kind::Stream.head(req.header("request").unwrap_or_default());
        let text = event(1);
        let chunks = format!("{head}{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        vec![Step::Send(chunks.into_bytes())]
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "whole", ""));
    assert_eq!((response.status, response.text()), (200, event(1)));
}
