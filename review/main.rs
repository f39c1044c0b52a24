//! Stand-ins for the reviews' scripts: the platform's store, its operator, servers and clients, on
//! loopback addresses and the real clock. Uses the standard library only; `build.sh` compiles it.
//!
//! `standins CASE FOLDER` plays one case with the project's own node as separate processes, writes
//! `FOLDER/record.txt`, and exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run. With `TROUBLE=0` the disruption is left out.

mod base;

mod client;
mod engine;
mod left_engine;
mod node;
mod odd_entry;
mod server;
mod store;
mod two_engines;

use std::{env, process::exit};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let broken = match case.as_str() {
        "2" => left_engine::run(folder, trouble),
        "3" => odd_entry::run(folder, trouble),
        "4" => two_engines::run(folder, trouble),
        _ => Err(format!("no case {case}")),
    };
    match broken {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(reason) => {
            eprintln!("could not run: {reason}");
            exit(2);
        }
    }
}
