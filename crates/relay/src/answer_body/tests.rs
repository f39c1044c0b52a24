//! Ends of bodies that a task sends.

use {
    super::*,
    http_body_util::BodyExt,
    tokio::{
        runtime::Builder,
        task::{LocalSet, yield_now},
    },
};

/// Reads a body that `send` sends: its bytes, and whether it came to a proper end.
fn read<F: Future<Output = ()> + 'static>(
    send: impl FnOnce(Sender<Result<Bytes, AnswerAborted>>) -> F,
) -> (Vec<u8>, bool) {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut body = AnswerBody::spawn(1, send);
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return (bytes, false) };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        (bytes, true)
    })
}

#[test]
fn a_body_whose_task_panics_isnt_passed_off_as_whole() {
    let ended = read(|sender| async move {
        sender.send(Ok(Bytes::from_static(b"token"))).await.expect("the caller reads");
        yield_now().await;
        panic!("a broken invariant");
    });
    assert_eq!(ended, (b"token".to_vec(), false));
}

#[test]
fn a_body_whose_task_returns_is_whole() {
    let ended = read(|sender| async move {
        sender.send(Ok(Bytes::from_static(b"token"))).await.expect("the caller reads");
    });
    assert_eq!(ended, (b"token".to_vec(), true));
}
