//! Keeps a deployment for trials by hand.
use {
    crate::{Context, Outcome, deployment::Deployment},
    std::{thread, time::Duration},
};

pub fn play(context: &Context) -> Outcome {
    let mut deployment = Deployment::start(&context.work);
    for (number, zone) in ["khomas-a", "khomas-b", "khomas-c"].iter().enumerate() {
        deployment.add_engine(&format!("i-llm{number}"), "lm-pool", zone, &["chunked", "20", "50"]);
    }
    deployment.add_nodes(&context.program, &context.repository, 3, true);
    let ready = deployment.await_ready();
    context.note(&format!("ready {ready}"));
    for node in &deployment.nodes {
        context.note(&format!("node {} pid {}", node.callers, node.process.child.id()));
    }
    thread::sleep(Duration::from_secs(600));
    Outcome::Held
}
