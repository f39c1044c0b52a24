//! What happens after a panic on the control thread.

use {
    super::*,
    crate::fixtures::node,
    glade_clock::BootClock,
    glade_observe::Metrics,
    std::{
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc,
    },
    tokio::sync::mpsc::error::TryRecvError,
};

/// Generations that end, each in a way of its own.
const ENDED: u32 = 3;

#[test]
fn the_control_goes_on_after_a_panic_without_events_of_before() {
    let (events, inbox) = channel(8);
    let (report, reported) = mpsc::channel();
    let mut generation = 0;
    let run = move || {
        run_generations(inbox, move |inbox| {
            generation += 1;
            let left_over = inbox.try_recv().err();
            events.try_send(Event::TaskPanicked).expect("the queue has room");
            report.send((generation, left_over)).expect("the test waits");
            match generation {
                1 => panic!("a broken invariant"),
                2 => Err("no descriptors"),
                ENDED => Ok(()),
                _ => loop {
                    thread::park();
                },
            }
        });
    };
    // Runs until the test program ends.
    thread::spawn(run);
    for generation in 1..=ENDED + 1 {
        assert_eq!(reported.recv(), Ok((generation, Some(TryRecvError::Empty))));
    }
}

fn settings(peers: SocketAddr) -> NodeSettings {
    let text = format!(
        "vm: {{ name: node-1, data_centre: dc-1, region: r-1, cpu_share: 1.0 }}\n\
         listen: {{ callers: 127.0.0.1:1, readiness: 127.0.0.1:2, directory: 127.0.0.1:3, \
         peers: \"{peers}\", metrics_port: 4 }}\n\
         platform: {{ store: 127.0.0.1:9 }}\n\
         timing: {{ lease_ms: 1500, grace_s: 8, directory_ttl_s: 1, leaving_server_ms: 2000, \
         registry_beat_ms: 1200 }}\n\
         engines: {{ check_fences: true }}\n\
         repeats: {{ share: 0.2, window_s: 10, reserve: 50 }}\n\
         loads: {{ window_s: 5 }}\n"
    );
    NodeSettings::parse(&text).expect("settings")
}

/// Waits until `holds` is true.
fn eventually(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..2000 {
        if holds() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("never: {what}");
}

#[test]
fn a_control_whose_task_panics_is_replaced_by_one_that_listens() {
    let free = TcpListener::bind(("127.0.0.1", 0)).and_then(|free| free.local_addr());
    let peers = free.expect("a free port");
    let (metrics, control_metrics) = (Metrics::open("test"), ControlMetrics::default());
    control_metrics.register(&metrics);
    let (published, _updates) = PublishedState::new(std::time::Instant::now());
    let (settings, clock) = (Arc::new(settings(peers)), Arc::new(BootClock::new()));
    let control = spawn_control(settings, clock, node(1, 1, 250), published, control_metrics);
    let control = control.expect("the control can be started");
    for restarts in 1..=3 {
        eventually("it listens", || TcpStream::connect(peers).is_ok());
        control.send(Event::TaskPanicked);
        let counter = format!("control_restarts_total {restarts}");
        eventually("it starts again", || metrics.render().contains(&counter));
    }
    eventually("it listens at last", || TcpStream::connect(peers).is_ok());
}
